"""Admission of requests to the services of one VM: waiting, waking and refusals."""

import random
from collections.abc import Callable

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.admission.models import (
    AdmissionRequest,
    AdmissionSettings,
    QueuedRequest,
    QueueOutcome,
    Standing,
)
from wagtailbay.admission.queue import AdmissionQueue
from wagtailbay.admission.refused import RefusedCallers, RetryPlanner
from wagtailbay.logs import log_event
from wagtailbay.metrics import Metrics
from wagtailbay.placement import (
    Placement,
    PlacementFailure,
    SelectionTurn,
    TargetOutcome,
)

Selection = Result[Placement, PlacementFailure]
Select = Callable[[SelectionTurn], Selection]

# These outcomes free no capacity: the target did not take the request.
NOT_TAKEN = frozenset({TargetOutcome.SHED, TargetOutcome.UNREACHABLE})


@define
class ServiceAdmission:
    """Admission state of one service."""

    queue: AdmissionQueue
    planner: RetryPlanner


@define
class AdmissionController:
    """Lets requests select targets in order, and holds them while their targets are full.

    Attributes:
        services: State by service.
        refused: Callers that were refused recently.
        queued: Number of waiting requests on this VM.
    """

    clock: Callable[[], float]
    settings: AdmissionSettings = field(factory=AdmissionSettings)
    metrics: Metrics = field(factory=Metrics)
    rng: random.Random = field(factory=random.Random)
    services: dict[str, ServiceAdmission] = field(factory=dict)
    refused: RefusedCallers = field(factory=RefusedCallers)
    queued: int = 0

    @property
    def enabled(self) -> bool:
        """Return whether requests may wait."""
        return self.settings.wait_fraction > 0

    def has_queue(self, service: str) -> bool:
        """Return whether requests of a service wait for capacity."""
        return service in self.services and bool(self.services[service].queue.waiting)

    def _service(self, name: str) -> ServiceAdmission:
        service = self.services.get(name)
        if service is None:
            service = ServiceAdmission(AdmissionQueue(), RetryPlanner(self.rng))
            self.services[name] = service
        return service

    async def select_in_order(self, request: AdmissionRequest, select: Select) -> Selection:
        """Select a target when it is this request's turn, waiting for capacity if need be."""
        queue = self._service(request.service).queue
        now_s = self.clock()
        queued = QueuedRequest(
            request.priority,
            request.workspace,
            self._standing(request, now_s),
            request.goal_s,
            request.give_up_s(self.settings.wait_fraction),
        )
        queue.enter(queued, now_s)
        selected: Selection | None = None
        try:
            selected = self._select_on_arrival(queue, request, queued, select)
            if _is_full(selected):
                selected = await self._wait(queue, request, queued, select, selected)
            return selected
        finally:
            queue.leave(queued, _took_capacity(selected), self.clock())
            self._wake_next(queue)

    def _standing(self, request: AdmissionRequest, now_s: float) -> Standing:
        if request.is_retry:
            return Standing.NEW
        return self.refused.recognize(
            request.fingerprint, now_s, is_idempotent=request.is_idempotent
        )

    def _select_on_arrival(
        self,
        queue: AdmissionQueue,
        request: AdmissionRequest,
        queued: QueuedRequest,
        select: Select,
    ) -> Selection:
        """Select a target, only one of another region if others wait for those of this one."""
        if not request.is_retry and not queue.may_try_on_arrival(queued, self.clock()):
            return select(SelectionTurn.BEHIND)
        selected = select(SelectionTurn.FIRST)
        if _is_full(selected):
            queue.record_failed_try(queued, on_arrival=True)
        return selected

    async def _wait(
        self,
        queue: AdmissionQueue,
        request: AdmissionRequest,
        queued: QueuedRequest,
        select: Select,
        full: Selection,
    ) -> Selection:
        """Wait for capacity, if it is expected in time and the VM may hold one more request."""
        joined_s = self.clock()
        if not queue.can_be_in_time(queued, joined_s) or not self._make_room(queue, queued):
            selected = await self._select_before_refusal(queued, select, full)
            if _is_full(selected):
                self._record(request, QueueOutcome.REFUSED_AT_ONCE)
            return selected
        self._record(request, QueueOutcome.QUEUED)
        self.queued += 1
        outcome = QueueOutcome.LEFT
        try:
            selected = await self._select_when_woken(queue, queued, select)
            if selected is None:
                outcome = QueueOutcome.DISPLACED if queued.displaced else QueueOutcome.TIMED_OUT
                return full
            outcome = QueueOutcome.NO_TARGET if selected.is_err() else QueueOutcome.ADMITTED
            return selected
        finally:
            self.queued -= 1
            self._record(request, outcome)
            self.metrics.record_queue_wait(request.service, (self.clock() - joined_s) * 1000)

    async def _select_before_refusal(
        self, queued: QueuedRequest, select: Select, full: Selection
    ) -> Selection:
        """Select a target of this region for a request that can't wait, unless it has done so.

        Those ahead of it may wait for other targets. The first of them, which may have been woken
        just now, selects before.
        """
        if queued.tried_epoch >= 0:
            return full
        # The task of a woken request may run after this one in the next pass of the scheduler.
        for _ in range(2):
            await trio.lowlevel.checkpoint()
        return select(SelectionTurn.AGAIN)

    async def _select_when_woken(
        self, queue: AdmissionQueue, queued: QueuedRequest, select: Select
    ) -> Selection | None:
        """Select whenever it is the request's turn; None if it gives up or is displaced."""
        while True:
            now_s = self.clock()
            if queued.displaced or now_s >= queued.give_up_s:
                return None
            with trio.move_on_after(max(0.0, queue.wait_until_s(queued, now_s) - now_s)):
                await queued.wake.wait()
            queued.wake = trio.Event()
            now_s = self.clock()
            queue.start_due_epoch(queued, now_s)
            if not queued.displaced and queue.next_to_try(now_s) is queued:
                selected = select(SelectionTurn.AGAIN)
                if not _is_full(selected):
                    return selected
                queue.record_failed_try(queued)
            self._wake_next(queue)

    def _make_room(self, queue: AdmissionQueue, queued: QueuedRequest) -> bool:
        """Return whether the VM may hold one more request, after displacing one behind it."""
        if self.queued < self.settings.max_queued:
            return True
        # One that was displaced before leaves when its task runs.
        last = [other for other in queue.ordered(self.clock()) if not other.displaced][-1]
        if last is queued:
            return False
        last.displaced = True
        last.wake.set()
        return True

    def _wake_next(self, queue: AdmissionQueue) -> None:
        """Wake the request whose turn it is, or one that begins the next epoch."""
        now_s = self.clock()
        request = queue.next_to_try(now_s)
        if request is None and queue.timer_owner is None and queue.waiting:
            request = queue.waiting[0]
        if request is not None:
            request.wake.set()

    def record_finish(self, placement: Placement, outcome: TargetOutcome) -> None:
        """Record that a request ended at a target, and wake the first one in order.

        Requests wait for targets of their own region, so one that ended elsewhere frees nothing
        unless the own region has no targets.
        """
        if not self.enabled or placement.is_beyond_local:
            return
        queue, now_s = self._service(placement.target.entry.service).queue, self.clock()
        if outcome not in NOT_TAKEN:
            queue.record_completion(now_s)
        queue.start_epoch(now_s)
        self._wake_next(queue)

    def refuse(
        self, request: AdmissionRequest, failure: PlacementFailure, remaining_ms: float
    ) -> float:
        """Remember the caller of a refused request; return its Retry-After in milliseconds."""
        now_s = self.clock()
        service = self._service(request.service)
        retry_after_ms = failure.retry_after_ms
        if failure.is_full:
            queue = service.queue
            retry_after_ms = service.planner.retry_after_ms(
                len(queue.waiting),
                queue.completions.at(now_s),
                remaining_ms,
                failure.retry_after_ms,
                now_s,
            )
        due_s = now_s + retry_after_ms / 1000
        if self.refused.record(request.fingerprint, due_s, now_s):
            service.planner.record(due_s)
        return retry_after_ms

    def _record(self, request: AdmissionRequest, outcome: QueueOutcome) -> None:
        self.metrics.record_queue(request.service, request.priority, outcome.value)
        if outcome is QueueOutcome.DISPLACED:
            log_event("request_displaced", service=request.service, priority=request.priority)


def _took_capacity(selected: Selection | None) -> bool:
    """Return whether a selection used capacity for which requests wait."""
    return isinstance(selected, Ok) and not selected.ok_value.is_beyond_local


def _is_full(selected: Selection) -> bool:
    """Return whether a selection failed only for lack of capacity."""
    return isinstance(selected, Err) and selected.err_value.is_full
