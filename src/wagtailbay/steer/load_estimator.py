"""Estimate the load of targets from their reports and the outcomes of requests."""

from bisect import insort

from attrs import define, field

from wagtailbay.health import TargetView
from wagtailbay.steer.const import (
    MAX_COUNTED_SHEDS,
    RECENT_RESPONSE_S,
    SHED_HALF_LIFE_S,
    SHED_LOAD_PER_SLOT,
    UNREPORTED_END_GRACE_S,
)
from wagtailbay.steer.models import AttemptOutcome


@define
class _TargetLoad:
    """Requests, sheds and responses of one target.

    Attributes:
        deadlines: Deadlines of this VM's requests in flight, in ascending order.
        shed_count: Number of sheds without a long gap between them.
    """

    deadlines: list[float] = field(factory=list)
    shed_count: int = 0
    last_shed_s: float | None = None
    last_response_s: float | None = None


@define
class LoadEstimator:
    """Tracks this VM's in-flight requests and corrects load reports that responses contradict.

    A request counts until its end is recorded, or until ``UNREPORTED_END_GRACE_S`` after its
    deadline. Without this limit, a request whose task was cancelled would make its target look busy
    forever.

    Attributes:
        correct_reports: Test-only switch; False uses every report unchanged.
        target_loads: Observations by service and target.
    """

    correct_reports: bool = True
    target_loads: dict[tuple[str, str], _TargetLoad] = field(factory=dict)

    def in_flight(self, service: str, target: str, now_s: float) -> int:
        """Return the number of requests that this VM has in flight at a target."""
        target_load = self.target_loads.get((service, target))
        if target_load is None:
            return 0
        while target_load.deadlines and target_load.deadlines[0] + UNREPORTED_END_GRACE_S < now_s:
            target_load.deadlines.pop(0)
        return len(target_load.deadlines)

    def loads(
        self, service: str, target: str, view: TargetView, slots: int, now_s: float
    ) -> tuple[int, float]:
        """Return this VM's in-flight requests, and the estimated load by all VMs.

        The load by other VMs is the reported load, or the load implied by recent sheds if that is
        higher.
        """
        target_load = self.target_loads.get((service, target))
        if target_load is None:
            return 0, view.in_flight
        other_load = view.in_flight
        if self.correct_reports and target_load.last_shed_s is not None:
            decay = 0.5 ** (max(0.0, now_s - target_load.last_shed_s) / SHED_HALF_LIFE_S)
            shed_load = (
                slots * SHED_LOAD_PER_SLOT * min(target_load.shed_count, MAX_COUNTED_SHEDS) * decay
            )
            other_load = max(other_load, shed_load)
        own_in_flight = self.in_flight(service, target, now_s)
        return own_in_flight, own_in_flight + other_load

    def responded_recently(self, service: str, target: str, now_s: float) -> bool:
        """Return whether a target responded to this VM within ``RECENT_RESPONSE_S``."""
        target_load = self.target_loads.get((service, target))
        if target_load is None or target_load.last_response_s is None:
            return False
        return now_s - target_load.last_response_s <= RECENT_RESPONSE_S

    def record_start(self, service: str, target: str, deadline_s: float) -> None:
        """Count a request as in flight."""
        insort(self.target_loads.setdefault((service, target), _TargetLoad()).deadlines, deadline_s)

    def record_finish(
        self,
        service: str,
        target: str,
        deadline_s: float,
        outcome: AttemptOutcome,
        now_s: float,
    ) -> None:
        """Stop counting a request as in flight, and record its outcome."""
        target_load = self.target_loads.setdefault((service, target), _TargetLoad())
        if deadline_s in target_load.deadlines:
            target_load.deadlines.remove(deadline_s)
        if outcome is AttemptOutcome.SHED:
            recent = (
                target_load.last_shed_s is not None
                and now_s - target_load.last_shed_s < 4 * SHED_HALF_LIFE_S
            )
            target_load.shed_count = target_load.shed_count + 1 if recent else 1
            target_load.last_shed_s = now_s
        elif outcome is AttemptOutcome.ANSWERED:
            target_load.last_response_s = now_s

    def prune(self, service: str, targets: frozenset[str]) -> None:
        """Remove targets that a service no longer lists and that have no requests in flight."""
        removed = [
            key
            for key, target_load in self.target_loads.items()
            if key[0] == service and key[1] not in targets and not target_load.deadlines
        ]
        for key in removed:
            del self.target_loads[key]
