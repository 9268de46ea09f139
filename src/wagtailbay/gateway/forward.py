"""Place a request and try targets until one answers or another try would not be safe."""

from collections.abc import Awaitable, Callable

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.gateway.attempt import TargetTry, send_held
from wagtailbay.gateway.const import (
    FLEET_RETRY_CAPACITY,
    MIN_RETRY_CAPACITY,
    MIN_RETRY_LEFT_MS,
    RETRY_RATIO,
    RETRY_START_TOKENS,
)
from wagtailbay.gateway.models import (
    Answered,
    ForwardResult,
    GatewayRequest,
    HeldAnswer,
    TryOutcome,
    Vocabulary,
)
from wagtailbay.logs import log_event
from wagtailbay.metrics import Metrics
from wagtailbay.placement import (
    ExchangeSizes,
    Placement,
    PlacementFailure,
    PlacementQuery,
    TargetOutcome,
    TargetSelector,
    VersionFilter,
)
from wagtailbay.quarantine import CrashTable, refuses_connections
from wagtailbay.refusals import Refusal, not_run, outcome_unknown
from wagtailbay.retries import RetryBudget, RetryBudgets
from wagtailbay.rollout import VersionSplitter
from wagtailbay.transport import CallerDisconnectedError, ConnectionPool, ResponseSink


@define
class RequestTrace:
    """Hold what was done for one request, for its log line.

    Attributes:
        tried: Targets with what came of each, in order.
        may_have_run: Whether any target may have run it.
        held: A failure that a target answered with and that was held back.
    """

    tried: list[str] = field(factory=list)
    excluded: frozenset[str] = frozenset()
    may_have_run: bool = False
    held: HeldAnswer | None = None
    last: TargetOutcome | None = None
    load: float = 0.0

    def note(self, placement: Placement, outcome: TryOutcome) -> None:
        """Take in a try that brought the caller no answer."""
        target = placement.target.entry.target
        self.tried.append(f"{target}:{placement.reason.value}:{outcome.sign.value}")
        self.excluded |= {target}
        self.may_have_run = self.may_have_run or outcome.may_have_run
        self.held = outcome.held or self.held
        self.last = outcome.sign
        self.load = placement.load


@define
class GatewayForwarder:
    """Try targets for a request, within its time, its route and the retry budget.

    Attributes:
        live_vms: Returns how many VMs make retries.
        has_ended: Tells whether the target at an address has ended.
        background: Runs what the caller need not wait for; None leaves it out.
    """

    selector: TargetSelector
    rollouts: VersionSplitter
    pool: ConnectionPool
    vocabulary: Vocabulary
    crashes: CrashTable
    clock: Callable[[], float]
    metrics: Metrics = field(factory=Metrics)
    live_vms: Callable[[], int] = lambda: 1
    sizes: ExchangeSizes = field(factory=ExchangeSizes)
    retries: RetryBudgets = field(init=False)
    has_ended: Callable[[str], Awaitable[bool]] = refuses_connections
    background: trio.Nursery | None = None

    def __attrs_post_init__(self) -> None:
        """Give this VM its part of the retries that the fleet may save up."""
        self.retries = RetryBudgets(
            lambda: RetryBudget(RETRY_RATIO, self._retry_capacity, RETRY_START_TOKENS)
        )

    def _retry_capacity(self) -> float:
        return max(MIN_RETRY_CAPACITY, FLEET_RETRY_CAPACITY / max(1, self.live_vms()))

    async def forward(
        self, request: GatewayRequest, sink: ResponseSink, trace: RequestTrace
    ) -> ForwardResult:
        """Serve a request; an error is the answer that the caller still has to get."""
        self.retries.for_service(request.service).record_first_attempt()
        version = self.rollouts.pick_version(request.service, self.clock())
        while True:
            if sink.is_disconnected():
                # Read late, as on a busy VM; a target would work for nobody.
                log_event("caller_left", request_id=request.caller.request_id)
                raise CallerDisconnectedError
            placed = self._place(request, trace, version)
            if isinstance(placed, Err):
                return await self._give_up(request, sink, trace, placed.err_value)
            outcome = await self._try(request, placed.ok_value, sink, trace)
            if outcome.answered is not None:
                return Ok(outcome.answered)
            if not self._may_retry(request, trace, outcome):
                return await self._give_up(request, sink, trace, None)

    def _place(
        self, request: GatewayRequest, trace: RequestTrace, version: VersionFilter | None
    ) -> Result[Placement, PlacementFailure]:
        query = PlacementQuery(
            service=request.service,
            affinity=_affinity(request),
            latency_goal_ms=request.route.latency_goal_ms,
            excluded=trace.excluded,
            allowed_regions=request.allowed_regions,
            version=version,
            is_large=self.sizes.is_large(request.route.name, len(request.request.body)),
        )
        return self.selector.select(query, self.clock())

    async def _try(
        self, request: GatewayRequest, placement: Placement, sink: ResponseSink, trace: RequestTrace
    ) -> TryOutcome:
        """Send the request to one target and record the outcome, whatever happens."""
        entry, started_s = placement.target.entry, self.clock()
        self.rollouts.record_start(entry.service, entry.version)
        last = len(trace.tried) + 1 >= request.route.max_targets
        attempt = TargetTry(self.pool, self.vocabulary, self.clock, request, placement, sink, last)
        outcome: TryOutcome | None = None
        try:
            outcome = await attempt.run()
        finally:
            sign = outcome.sign if outcome else TargetOutcome.GIVEN_UP
            if outcome is None:
                log_event(
                    "request_abandoned",
                    request_id=request.caller.request_id,
                    target=entry.target,
                    waited_ms=round((self.clock() - request.received_s) * 1000),
                )
            self._record(request, placement, sign, attempt, started_s)
        trace.note(placement, outcome)
        if outcome.ended_unanswered and self.background is not None:
            self.background.start_soon(self._check_crash, request, placement)
        return outcome

    def _record(
        self,
        request: GatewayRequest,
        placement: Placement,
        sign: TargetOutcome,
        attempt: TargetTry,
        started_s: float,
    ) -> None:
        now_s = self.clock()
        entry = placement.target.entry
        latency_ms = (now_s - started_s) * 1000
        self.selector.finish(placement, sign, latency_ms, attempt.load, now_s)
        warm = not placement.target.is_cold(started_s)
        self.rollouts.record_finish(
            entry.service, request.route.name, entry.version, sign, warm, now_s
        )
        self.metrics.attempt_finished(entry.service, sign.value)
        if sign is TargetOutcome.ANSWERED:
            size_bytes = len(request.request.body) + attempt.answer_bytes
            self.sizes.record(request.route.name, size_bytes)
        if sign in (TargetOutcome.ANSWERED, TargetOutcome.FAILED):
            self.crashes.record_answer(request.fingerprint, now_s)

    async def _check_crash(self, request: GatewayRequest, placement: Placement) -> None:
        """Count a crash if the target that broke the connection has ended."""
        entry = placement.target.entry
        if not await self.has_ended(entry.address):
            return
        now_s = self.clock()
        self.selector.mark_restarting(placement.target, now_s)
        description = f"{request.request.method} {request.request.path}"
        self.crashes.record_crash(request.fingerprint, entry.target, description, now_s)
        log_event("target_ended", target=entry.target, request_id=request.caller.request_id)

    def _may_retry(self, request: GatewayRequest, trace: RequestTrace, outcome: TryOutcome) -> bool:
        if len(trace.tried) >= request.route.max_targets:
            return False
        if request.left_ms(self.clock()) < MIN_RETRY_LEFT_MS:
            return False
        if outcome.may_have_run and not request.route.idempotent:
            return False
        if self.crashes.is_refused(request.fingerprint, self.clock()):
            return False
        return self.retries.for_service(request.service).take()

    async def _give_up(
        self,
        request: GatewayRequest,
        sink: ResponseSink,
        trace: RequestTrace,
        shortage: PlacementFailure | None,
    ) -> ForwardResult:
        """Return the true answer to a request that no target served."""
        if trace.held is not None:
            await send_held(sink, trace.held)
            return Ok(Answered(trace.held.status))
        if trace.may_have_run:
            return Err(_unknown_outcome(trace))
        if shortage is None:
            shortage = PlacementFailure(
                "the targets turned it away", self.selector.retry_after_ms()
            )
        return Err(not_run(503, "no_target", shortage.reason, round(shortage.retry_after_ms)))


def _affinity(request: GatewayRequest) -> str | None:
    """Name the object of a request among all that its service handles."""
    if not request.route.sticky or request.caller.affinity is None:
        return None
    return f"{request.route.host}{request.route.path_prefix}{request.caller.affinity}"


def _unknown_outcome(trace: RequestTrace) -> Refusal:
    if trace.last is TargetOutcome.TIMED_OUT:
        return outcome_unknown(504, "target_timeout", "no answer in time")
    return outcome_unknown(502, "target_failed", "the target gave no usable answer")
