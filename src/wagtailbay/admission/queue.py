"""Queue of the requests that wait for capacity of one service."""

from math import inf, sqrt

from attrs import define, field

from wagtailbay.admission.const import (
    COMPLETIONS_DEVIATION,
    COMPLETIONS_WINDOW_S,
    MAX_TRIES_IN_ORDER,
    MAX_TRIES_PER_EPOCH,
    RESELECT_INTERVAL_S,
)
from wagtailbay.admission.models import QueuedRequest, Standing
from wagtailbay.admission.shares import CapacityShares
from wagtailbay.limits.decay import DecayingRate


@define
class AdmissionQueue:
    """Decides which waiting request may select a target next, and which may wait at all.

    An epoch begins whenever capacity may have become free. Within an epoch the requests select in
    order, each at most once: one that finds its targets full lets the next one try, which may use
    other targets. The later tries of an epoch are of those that have not tried for longest.

    Attributes:
        waiting: The waiting requests, in order of arrival.
        epoch: Number of the current epoch.
        epoch_started_s: When the current epoch began.
        tries: Waiting requests that selected again and found no capacity in this epoch.
        completions: Rate of the requests of this VM that end at targets of the service.
        shares: Capacity that priorities and workspaces have received.
        timer_owner: The waiting request whose task begins an epoch after RESELECT_INTERVAL_S.
        timer_from_s: Time since which it has done so.
    """

    waiting: list[QueuedRequest] = field(factory=list)
    epoch: int = 0
    epoch_started_s: float = -inf
    tries: int = 0
    completions: DecayingRate = field(factory=lambda: DecayingRate(COMPLETIONS_WINDOW_S))
    shares: CapacityShares = field(factory=CapacityShares)
    timer_owner: QueuedRequest | None = None
    timer_from_s: float = -inf

    def enter(self, request: QueuedRequest, now_s: float) -> None:
        """Add a request, which must leave again, whether it waits or not."""
        self.shares.of(request.priority).record_demand(request.workspace, now_s)
        self.waiting.append(request)

    def leave(self, request: QueuedRequest, admitted: bool, now_s: float) -> None:
        """Remove a request that selected a target, was refused or whose caller disconnected."""
        self.waiting.remove(request)
        if self.timer_owner is request:
            self.timer_owner = None
        if admitted:
            for other in self.waiting:
                self.shares.of(other.priority).record_demand(other.workspace, now_s)
            self.shares.record_admitted(request.priority, request.workspace, now_s)

    def record_completion(self, now_s: float) -> None:
        """Record that a request ended at a target and left capacity."""
        self.completions.record(1, now_s)

    def start_epoch(self, now_s: float) -> None:
        """Let the waiting requests select again, since capacity may have become free."""
        self.epoch += 1
        self.epoch_started_s = now_s
        self.tries = 0

    def record_failed_try(self, request: QueuedRequest, on_arrival: bool = False) -> None:
        """Record that a request found no capacity, so that the next one may select.

        Tries on arrival don't count: a burst of arrivals would use up those of the waiting ones.
        """
        request.tried_epoch = self.epoch
        if not on_arrival:
            self.tries += 1

    def ordered(self, now_s: float) -> list[QueuedRequest]:
        """Return the waiting requests, the first to select first."""
        if len(self.waiting) <= 1:
            return list(self.waiting)
        priorities = {request.priority for request in self.waiting}
        pairs = {(request.priority, request.workspace) for request in self.waiting}
        above = {pair for pair in pairs if self.shares.is_above_even_part(*pair, now_s)}

        def key(request: QueuedRequest) -> tuple:
            return (
                request.priority,
                request.standing is Standing.EARLY,
                (request.priority, request.workspace) in above,
                request.standing,
                request.goal_s,
            )

        order = sorted(self.waiting, key=key)
        due = self.shares.due_priority(priorities, now_s)
        first = next((request for request in order if request.priority == due), None)
        if first is not None:
            order.remove(first)
            order.insert(0, first)
        return order

    def next_to_try(self, now_s: float) -> QueuedRequest | None:
        """Return the request that may select now; None if none may before the next epoch."""
        if self.tries >= MAX_TRIES_PER_EPOCH:
            return None
        untried = [r for r in self.ordered(now_s) if r.tried_epoch != self.epoch]
        if self.tries < MAX_TRIES_IN_ORDER:
            return next(iter(untried), None)
        return min(untried, key=lambda request: request.tried_epoch, default=None)

    def may_try_on_arrival(self, request: QueuedRequest, now_s: float) -> bool:
        """Return whether a request that has just entered overtakes nobody by selecting now.

        Those ahead of it that found no capacity in this epoch wait for other targets or would
        find none now either.
        """
        for other in self.ordered(now_s):
            if other is request or self.tries >= MAX_TRIES_PER_EPOCH:
                return True
            if other.tried_epoch != self.epoch:
                return False
        return True

    def expected_wait_s(self, request: QueuedRequest, now_s: float) -> float:
        """Return when capacity is expected to reach an entered request.

        It is served in order with what more urgent requests leave, or by the starvation bound.
        """
        per_s = self.completions.at(now_s)
        if per_s <= 0:
            return inf
        order = self.ordered(now_s)
        ahead = order[: order.index(request)]
        left_per_s = per_s - self.shares.more_urgent_per_s(request.priority, now_s)
        in_order = len(ahead) + COMPLETIONS_DEVIATION * sqrt(len(ahead)) + 1
        in_order_s = in_order / left_per_s if left_per_s > 0 else inf
        own_ahead = sum(other.priority == request.priority for other in ahead)
        period = self.shares.period(now_s)
        until_due = self.shares.admissions_until_due(request.priority, now_s)
        return min(in_order_s, (until_due + own_ahead * period + 1) / per_s)

    def can_be_in_time(self, request: QueuedRequest, now_s: float) -> bool:
        """Return whether capacity is expected to reach a request before it gives up."""
        return now_s + self.expected_wait_s(request, now_s) <= request.give_up_s

    def wait_until_s(self, request: QueuedRequest, now_s: float) -> float:
        """Return when a waiting request's task continues without being woken.

        One of these tasks has the timer that begins an epoch if no completion does.
        """
        if self.timer_owner is None:
            self.timer_owner = request
            self.timer_from_s = now_s
        if self.timer_owner is not request:
            return request.give_up_s
        return min(request.give_up_s, self._reselect_s())

    def _reselect_s(self) -> float:
        return max(self.epoch_started_s, self.timer_from_s) + RESELECT_INTERVAL_S

    def start_due_epoch(self, request: QueuedRequest, now_s: float) -> None:
        """Begin an epoch if the timer of this request's task has expired."""
        if self.timer_owner is request and now_s >= self._reselect_s():
            self.start_epoch(now_s)
