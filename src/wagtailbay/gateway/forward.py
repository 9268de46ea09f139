"""Forward a request to targets until one responds or a retry is no longer allowed."""

from collections.abc import Awaitable, Callable
from functools import partial
from math import inf

import trio
from attrs import Factory, define, field
from result import Err, Ok, Result

from wagtailbay.admission import AdmissionController, AdmissionRequest
from wagtailbay.gateway.attempt import TargetAttempt, send_buffered
from wagtailbay.gateway.const import (
    INITIAL_RETRY_TOKENS,
    MIN_RETRY_CAPACITY,
    MIN_RETRY_TIME_MS,
    OWN_RETRY_FRACTION,
    STOPPING_RETRY_AFTER_MS,
)
from wagtailbay.gateway.models import (
    AttemptMeter,
    AttemptResult,
    ForwardResult,
    GatewayRequest,
    HeaderCodec,
    ResponseDelivered,
)
from wagtailbay.gateway.race import AttemptRace
from wagtailbay.gateway.trace import RequestTrace
from wagtailbay.hedging import HedgeConditions, HedgeDenial, HedgeOutcome, HedgePlanner
from wagtailbay.logs import log_event
from wagtailbay.metrics import Metrics
from wagtailbay.placement import (
    ExchangeSizes,
    Placement,
    PlacementFailure,
    PlacementQuery,
    SelectionTurn,
    TargetOutcome,
    TargetSelector,
    VersionFilter,
)
from wagtailbay.placement.utilization import service_utilization
from wagtailbay.quarantine import CrashTable, refuses_connections
from wagtailbay.refusals import not_run
from wagtailbay.requirements import FleetRequirements
from wagtailbay.retries import RetryBudget, RetryBudgets
from wagtailbay.rollout import VersionSplitter
from wagtailbay.supervision import run_isolated
from wagtailbay.transport import CallerDisconnectedError, ConnectionPool, ResponseSink
from wagtailbay.transport.const import MAX_RESPONSE_BODY_BYTES


@define
class GatewayForwarder:
    """Forwards requests, with retries within the deadline, the route's limit and the retry budget.

    Attributes:
        live_vm_count: Returns the number of VMs that share the fleet's retry capacity.
        stops_sending_s: Time from which nothing more is sent to targets, because this VM stops.
        has_exited: Returns whether the target process at an address has exited.
        max_response_bytes: A target's response with a larger body is cut off.
        background_nursery: Runs crash checks, for which the caller does not wait; None disables
            them.
        meter: Counts the attempts that targets began to run; None if nobody wants to know.
        admission: Orders requests while capacity is short.
        hedges: Decides about second attempts beside first ones that take long.
    """

    selector: TargetSelector
    version_splitter: VersionSplitter
    pool: ConnectionPool
    header_codec: HeaderCodec
    crashes: CrashTable
    clock: Callable[[], float]
    metrics: Metrics = field(factory=Metrics)
    live_vm_count: Callable[[], int] = lambda: 1
    exchange_sizes: ExchangeSizes = field(factory=ExchangeSizes)
    requirements: FleetRequirements = field(factory=FleetRequirements)
    max_response_bytes: int = MAX_RESPONSE_BODY_BYTES
    stops_sending_s: float = inf
    retry_budgets: RetryBudgets = field(init=False)
    has_exited: Callable[[str], Awaitable[bool]] = refuses_connections
    background_nursery: trio.Nursery | None = None
    meter: AttemptMeter | None = None
    admission: AdmissionController = field(
        default=Factory(lambda self: AdmissionController(self.clock), takes_self=True)
    )
    hedges: HedgePlanner = field(factory=HedgePlanner)

    def __attrs_post_init__(self) -> None:
        """Create the retry budgets with this VM's share of the fleet's retry capacity."""
        self.retry_budgets = RetryBudgets(
            lambda: RetryBudget(
                OWN_RETRY_FRACTION * self.requirements.retry_ratio,
                self._retry_capacity,
                INITIAL_RETRY_TOKENS,
            )
        )

    def _retry_capacity(self) -> float:
        fleet_capacity = self.requirements.retry_extra
        return max(MIN_RETRY_CAPACITY, fleet_capacity / max(1, self.live_vm_count()))

    async def forward(
        self, request: GatewayRequest, sink: ResponseSink, trace: RequestTrace
    ) -> ForwardResult:
        """Forward a request and deliver a response; an error is the refusal left to send."""
        self.retry_budgets.for_service(request.service).record_first_attempt()
        if self.hedges.enabled:
            self.hedges.record_request(request.service)
        version = self.version_splitter.pick_version(request.service, self.clock())
        while True:
            if sink.is_disconnected():
                # A busy VM may read a request after its caller has disconnected; forwarding it
                # would waste capacity of a target.
                log_event("caller_left", request_id=request.caller.request_id)
                raise CallerDisconnectedError
            if self.clock() >= self.stops_sending_s:
                return await self._final_result(request, sink, trace, None)
            selected = await self._select_in_order(request, sink, trace, version)
            if isinstance(selected, Err):
                return await self._final_result(request, sink, trace, selected.err_value)
            result = await self._attempt_hedged(request, selected.ok_value, sink, trace, version)
            if result.delivery is not None:
                return Ok(result.delivery)
            if not self._may_retry(request, trace, result):
                return await self._final_result(request, sink, trace, None)

    async def _select_in_order(
        self,
        request: GatewayRequest,
        sink: ResponseSink,
        trace: RequestTrace,
        version: VersionFilter | None,
    ) -> Result[Placement, PlacementFailure]:
        """Select a target, after those ahead in the queue; one that may have run does not wait."""
        if not self.admission.enabled or trace.may_have_run:
            return self._select_target(request, trace, version)

        def select(turn: SelectionTurn) -> Result[Placement, PlacementFailure]:
            if sink.is_disconnected():
                raise CallerDisconnectedError
            if self.clock() >= self.stops_sending_s:
                return Err(PlacementFailure.unusable(STOPPING_RETRY_AFTER_MS))
            return self._select_target(request, trace, version, turn)

        started_s = self.clock()
        admission_request = self._admission_request(request, trace)
        selected = await self.admission.select_in_order(admission_request, select)
        trace.queued_ms += (self.clock() - started_s) * 1000
        return selected

    def _admission_request(self, request: GatewayRequest, trace: RequestTrace) -> AdmissionRequest:
        workspace, route = request.workspace, request.route
        last_send_s = request.deadline_s - MIN_RETRY_TIME_MS / 1000
        return AdmissionRequest(
            service=request.service,
            priority=request.priority,
            workspace=workspace.workspace if workspace else "",
            fingerprint=request.fingerprint,
            received_s=request.received_s,
            latency_goal_ms=route.latency_goal_ms,
            last_send_s=min(last_send_s, self.stops_sending_s),
            is_idempotent=route.idempotent,
            is_retry=bool(trace.attempts),
        )

    def _select_target(
        self,
        request: GatewayRequest,
        trace: RequestTrace,
        version: VersionFilter | None,
        turn: SelectionTurn = SelectionTurn.FIRST,
    ) -> Result[Placement, PlacementFailure]:
        query = PlacementQuery(
            service=request.service,
            affinity=request.affinity,
            latency_goal_ms=request.route.latency_goal_ms,
            excluded=trace.excluded,
            allowed_regions=request.allowed_regions,
            version=version,
            is_large=self.exchange_sizes.is_large(request.route.name, len(request.request.body)),
            turn=turn,
        )
        return self.selector.select(query, self.clock())

    async def _attempt_hedged(
        self,
        request: GatewayRequest,
        placement: Placement,
        sink: ResponseSink,
        trace: RequestTrace,
        version: VersionFilter | None,
    ) -> AttemptResult:
        """Send the request to a target, and to a second one if the first takes unusually long."""
        route, started_s, delay_ms = request.route, self.clock(), None
        may_hedge = route.idempotent and route.max_targets > 1 and not trace.attempts
        if self.hedges.enabled and may_hedge:
            delay_ms = self.hedges.delay_ms(route.name, route.latency_goal_ms, started_s)
        if delay_ms is None:
            return await self._attempt(request, placement, sink, trace)

        def select_second() -> Placement | None:
            trace.excluded |= {placement.target.entry.target}
            return self._select_second(request, sink, trace, version)

        async def attempt(placement: Placement, sink: ResponseSink) -> AttemptResult:
            return await self._attempt(request, placement, sink, trace)

        race = AttemptRace(sink)
        result = await race.run(placement, attempt, delay_ms / 1000, select_second)
        if race.first.was_cancelled:
            # It would have taken longer; without it, the quantile would fall.
            now_s = self.clock()
            self.hedges.record_latency(route.name, (now_s - started_s) * 1000, now_s)
        if race.second.placement is not None:
            trace.record_race(race)
            self.metrics.record_hedge(request.service, trace.hedge.value)
        return result

    def _select_second(
        self,
        request: GatewayRequest,
        sink: ResponseSink,
        trace: RequestTrace,
        version: VersionFilter | None,
    ) -> Placement | None:
        """Return the target of a second attempt beside the first, None if it must not be sent."""
        service, now_s = request.service, self.clock()
        conditions = HedgeConditions(
            priority=request.priority,
            may_send=not sink.is_disconnected()
            and now_s < self.stops_sending_s
            and request.remaining_ms(now_s) >= MIN_RETRY_TIME_MS
            and not self.crashes.is_refused(request.fingerprint, now_s),
            has_queue=self.admission.has_queue(service),
            utilization=service_utilization(self.selector, service, now_s),
        )
        budget = self.retry_budgets.for_service(service)
        denial = self.hedges.admit(service, conditions, budget, now_s)
        selected = self._select_target(request, trace, version) if denial is None else None
        if isinstance(selected, Ok):
            self.metrics.record_hedge(service, HedgeOutcome.SENT.value)
            return selected.ok_value
        self.metrics.record_hedge_denial(service, (denial or HedgeDenial.NO_TARGET).value)
        return None

    async def _attempt(
        self, request: GatewayRequest, placement: Placement, sink: ResponseSink, trace: RequestTrace
    ) -> AttemptResult:
        """Send the request to one target and record the outcome, also on cancellation."""
        entry, started_s = placement.target.entry, self.clock()
        self.version_splitter.record_start(entry.service, entry.version)
        is_last_attempt = len(trace.attempts) + 1 >= request.route.max_targets
        attempt = TargetAttempt(
            self.pool,
            self.header_codec,
            self.clock,
            request,
            placement,
            sink,
            is_last_attempt,
            self.max_response_bytes,
        )
        result: AttemptResult | None = None
        retract = self._record_begun(request, started_s)
        try:
            result = await attempt.run()
        finally:
            if not attempt.request_sent or (result and not result.may_have_run):
                retract()
            outcome = result.outcome if result else TargetOutcome.GIVEN_UP
            if result is None:
                log_event(
                    "request_abandoned",
                    request_id=request.caller.request_id,
                    target=entry.target,
                    waited_ms=round((self.clock() - request.received_s) * 1000),
                )
            self._record(request, placement, outcome, attempt, started_s)
        trace.record(placement, result)
        trace.responses += attempt.evidence
        if result.closed_without_response and self.background_nursery is not None:
            check = partial(self._check_crash, request, placement)
            self.background_nursery.start_soon(run_isolated, check, "crash_check")
        return result

    def _record_begun(self, request: GatewayRequest, now_s: float) -> Callable[[], None]:
        """Count an attempt for its workspace; return what removes it again."""
        if self.meter is None or request.workspace is None:
            return lambda: None
        workspace = request.workspace.workspace
        return partial(self.meter.retract, workspace, self.meter.record_begun(workspace, now_s))

    def _record(
        self,
        request: GatewayRequest,
        placement: Placement,
        outcome: TargetOutcome,
        attempt: TargetAttempt,
        started_s: float,
    ) -> None:
        now_s = self.clock()
        entry = placement.target.entry
        latency_ms = (now_s - started_s - attempt.delivery_s) * 1000
        load, pause_ms = None, None
        if attempt.metadata is not None:
            load, pause_ms = attempt.metadata.load, attempt.metadata.pause_ms
            if attempt.metadata.leaving:
                self.selector.registry.mark_leaving(entry.target, entry.born_unix_ms, now_s)
        self.selector.finish(placement, outcome, latency_ms, load, now_s, pause_ms)
        self.admission.record_finish(placement, outcome)
        is_warm = not placement.target.is_cold(started_s)
        self.version_splitter.record_finish(
            entry.service, request.route.name, entry.version, outcome, is_warm, now_s
        )
        self.metrics.record_attempt(entry.service, outcome.value)
        if self.hedges.enabled and outcome in (TargetOutcome.ANSWERED, TargetOutcome.TIMED_OUT):
            self.hedges.record_latency(request.route.name, latency_ms, now_s)
        self.metrics.record_placement(entry.service, placement.reason.value)
        if load is not None:
            self.metrics.record_target_pace(entry.service, load.pace_percent)
        if outcome is TargetOutcome.ANSWERED:
            size_bytes = len(request.request.body) + attempt.response_bytes
            self.exchange_sizes.record(request.route.name, size_bytes)
        if outcome in (TargetOutcome.ANSWERED, TargetOutcome.FAILED):
            self.crashes.record_answer(request.fingerprint, now_s)

    async def _check_crash(self, request: GatewayRequest, placement: Placement) -> None:
        """Record a crash if the target that closed the connection has exited."""
        entry = placement.target.entry
        if not await self.has_exited(entry.address):
            return
        now_s = self.clock()
        self.selector.mark_restarting(placement.target, now_s)
        description = f"{request.request.method} {request.request.path}"
        self.crashes.record_crash(request.fingerprint, entry.target, description, now_s)
        log_event("target_ended", target=entry.target, request_id=request.caller.request_id)

    def _may_retry(
        self, request: GatewayRequest, trace: RequestTrace, result: AttemptResult
    ) -> bool:
        if len(trace.attempts) >= request.route.max_targets:
            return False
        if request.remaining_ms(self.clock()) < MIN_RETRY_TIME_MS:
            return False
        if result.may_have_run and not request.route.idempotent:
            return False
        if self.crashes.is_refused(request.fingerprint, self.clock()):
            return False
        return self.retry_budgets.for_service(request.service).take()

    async def _final_result(
        self,
        request: GatewayRequest,
        sink: ResponseSink,
        trace: RequestTrace,
        failure: PlacementFailure | None,
    ) -> ForwardResult:
        """Return the final result of a request without a usable response from a target.

        Delivers the buffered error response of a target, if there is one.
        """
        if trace.fallback is not None:
            await send_buffered(sink, trace.fallback)
            return Ok(ResponseDelivered(trace.fallback.status))
        if trace.may_have_run:
            return Err(trace.unknown_outcome())
        if self.clock() >= self.stops_sending_s:
            message = "this VM is stopping; use another one"
            return Err(not_run(503, "vm_stopping", message, STOPPING_RETRY_AFTER_MS))
        if failure is None:
            retry_after_ms = self.selector.retry_after_ms()
            failure = PlacementFailure.full(retry_after_ms, "the targets turned it away")
        if self.hedges.enabled and failure.is_full:
            self.hedges.record_refusal(request.service, self.clock())
        retry_after_ms = failure.retry_after_ms
        if self.admission.enabled:
            admission_request = self._admission_request(request, trace)
            remaining_ms = request.remaining_ms(self.clock())
            retry_after_ms = self.admission.refuse(admission_request, failure, remaining_ms)
        return Err(not_run(503, "no_target", failure.reason, round(retry_after_ms)))
