"""Loads on one admission queue: a loop over time with slots that are free or in use."""

import random
from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush

from attrs import define, field, frozen

from wagtailbay.admission import AdmissionQueue, QueuedRequest, RefusedCallers, RetryPlanner
from wagtailbay.admission.models import Standing

GOAL_S = 1.0
WAIT_S = 0.125
DEADLINE_S = 8.0
STEP_S = 0.005


class FirstComeQueue(AdmissionQueue):
    """Baseline: first come, first served, with the same bound on the wait."""

    def ordered(self, now_s: float) -> list[QueuedRequest]:
        """Return the requests in order of arrival."""
        return list(self.waiting)

    def expected_wait_s(self, request: QueuedRequest, now_s: float) -> float:
        """Return the time in which completions reach the request."""
        return (self.waiting.index(request) + 1) / max(0.001, self.completions.at(now_s))


@frozen
class Caller:
    """A caller with one request.

    Attributes:
        kind: Label under which its outcomes are counted.
        return_after: Time after which it comes back when refused, by its Retry-After; None if it
            does not come back.
    """

    name: str
    kind: str
    priority: int = 1
    workspace: str = "w"
    return_after: Callable[[float], float] | None = None


def poisson(rng, per_s: float, until_s: float, kind: str, **fields) -> list[tuple[float, Caller]]:
    """Return callers that arrive at random from time 0."""
    arrivals, now_s = [], rng.expovariate(per_s)
    while now_s < until_s:
        arrivals.append((now_s, Caller(f"{kind}-{len(arrivals)}", kind, **fields)))
        now_s += rng.expovariate(per_s)
    return arrivals


@define
class LoadRun:
    """Runs callers against one queue; 20 slots with 0.5 s of work serve 40 requests/s.

    Attributes:
        counts: Number of events by kind of caller and outcome.
        held_s: Longest wait.
        returns_s: Times at which refused callers came back.
    """

    queue: AdmissionQueue
    slots: int = 20
    work_s: float = 0.5
    rng: random.Random = field(factory=lambda: random.Random(5))
    refused: RefusedCallers = field(factory=RefusedCallers)
    counts: Counter = field(factory=Counter)
    held_s: float = 0.0
    returns_s: list[float] = field(factory=list)
    _ends_s: list[float] = field(factory=list)
    _callers: dict[QueuedRequest, tuple[Caller, float]] = field(factory=dict)
    _arrivals: list = field(factory=list)
    _planner: RetryPlanner = field(init=False)

    def run(self, arrivals, until_s: float, change: tuple[float, int] = (1e9, 0)) -> Counter:
        """Run until a time; from the time of the change on there are that many slots."""
        self._planner = RetryPlanner(self.rng)
        for number, (at_s, caller) in enumerate(arrivals):
            heappush(self._arrivals, (at_s, number, caller, at_s))
        now_s = 0.0
        while now_s < until_s:
            now_s += STEP_S
            if now_s >= change[0]:
                self.slots = change[1]
            self._complete(now_s)
            for request in [r for r in self.queue.waiting if r.give_up_s <= now_s]:
                self._refuse(request, "timed_out", now_s)
            while self._arrivals and self._arrivals[0][0] <= now_s:
                _, _, caller, first_s = heappop(self._arrivals)
                self._arrive(caller, first_s, now_s)
        return self.counts

    def _complete(self, now_s: float) -> None:
        while self._ends_s and self._ends_s[0] <= now_s:
            heappop(self._ends_s)
            self.queue.record_completion(now_s)
            self.queue.start_epoch(now_s)
            while (request := self.queue.next_to_try(now_s)) is not None:
                if not self._try(request, now_s):
                    break

    def _try(self, request: QueuedRequest, now_s: float, on_arrival: bool = False) -> bool:
        if len(self._ends_s) >= self.slots:
            self.queue.record_failed_try(request, on_arrival)
            return False
        heappush(self._ends_s, now_s + self.work_s * self.rng.uniform(0.6, 1.4))
        self.queue.leave(request, True, now_s)
        caller, arrived_s = self._callers.pop(request)
        self.counts[caller.kind, "served"] += 1
        self.held_s = max(self.held_s, now_s - arrived_s)
        return True

    def _arrive(self, caller: Caller, first_s: float, now_s: float) -> None:
        standing = self.refused.recognize(caller.name, now_s)
        if standing is not Standing.NEW:
            self.returns_s.append(now_s)
        request = QueuedRequest(
            caller.priority, caller.workspace, standing, now_s + GOAL_S, now_s + WAIT_S
        )
        self.counts[caller.kind, "arrived"] += 1
        self._callers[request] = (caller, now_s)
        self.queue.enter(request, now_s)
        if self.queue.may_try_on_arrival(request, now_s) and self._try(request, now_s, True):
            return
        if not self.queue.can_be_in_time(request, now_s):
            self._refuse(request, "refused_at_once", now_s)
        else:
            self.counts[caller.kind, "queued"] += 1

    def _refuse(self, request: QueuedRequest, outcome: str, now_s: float) -> None:
        self.queue.leave(request, False, now_s)
        caller, arrived_s = self._callers.pop(request)
        self.counts[caller.kind, outcome] += 1
        self.held_s = max(self.held_s, now_s - arrived_s)
        retry_after_s = (
            self._planner.retry_after_ms(
                len(self.queue.waiting),
                self.queue.completions.at(now_s),
                DEADLINE_S * 1000,
                500.0,
                now_s,
            )
            / 1000
        )
        if self.refused.record(caller.name, now_s + retry_after_s, now_s):
            self._planner.record(now_s + retry_after_s)
        if caller.return_after is not None:
            back_s = now_s + caller.return_after(retry_after_s)
            heappush(self._arrivals, (back_s, self.rng.random(), caller, arrived_s))


def share(counts: Counter, kind: str, outcome: str = "served", of: str = "arrived") -> float:
    """Return the part of a kind's requests with an outcome."""
    return counts[kind, outcome] / max(1, counts[kind, of])
