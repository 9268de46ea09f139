"""Estimate the load of targets from reports and from their answers."""

from bisect import insort

from attrs import define, field

from wagtailbay.health import TargetView
from wagtailbay.steer.const import (
    ANSWER_COUNTS_S,
    LATE_END_S,
    MAX_SHED_LOADS,
    SHED_HALF_LIFE_S,
    SHED_LOAD,
)
from wagtailbay.steer.models import AttemptOutcome


@define
class _Record:
    deadlines: list[float] = field(factory=list)
    sheds: int = 0
    shed_s: float | None = None
    answered_s: float | None = None


@define
class LoadBelief:
    """Count this VM's own requests and correct reports that answers contradict.

    A request counts until its end is reported, at most until shortly after its deadline, so one
    whose task was cancelled does not make its target look busy for good.

    Attributes:
        correct_reports: Test-only switch; False believes every report.
    """

    correct_reports: bool = True
    records: dict[tuple[str, str], _Record] = field(factory=dict)

    def in_flight(self, service: str, target: str, now_s: float) -> int:
        """Return this VM's own requests at a target."""
        record = self.records.get((service, target))
        if record is None:
            return 0
        while record.deadlines and record.deadlines[0] + LATE_END_S < now_s:
            record.deadlines.pop(0)
        return len(record.deadlines)

    def loads(
        self, service: str, target: str, view: TargetView, slots: int, now_s: float
    ) -> tuple[int, float]:
        """Return own requests, and these plus the load of others, reported or shown by sheds."""
        record = self.records.get((service, target))
        if record is None:
            return 0, view.in_flight
        others = view.in_flight
        if self.correct_reports and record.shed_s is not None:
            faded = 0.5 ** (max(0.0, now_s - record.shed_s) / SHED_HALF_LIFE_S)
            shown = slots * SHED_LOAD * min(record.sheds, MAX_SHED_LOADS) * faded
            others = max(others, shown)
        own = self.in_flight(service, target, now_s)
        return own, own + others

    def answered_recently(self, service: str, target: str, now_s: float) -> bool:
        """Tell whether a target has just answered this VM."""
        record = self.records.get((service, target))
        if record is None or record.answered_s is None:
            return False
        return now_s - record.answered_s <= ANSWER_COUNTS_S

    def start(self, service: str, target: str, deadline_s: float) -> None:
        """Count a request that is sent."""
        insort(self.records.setdefault((service, target), _Record()).deadlines, deadline_s)

    def finish(
        self,
        service: str,
        target: str,
        deadline_s: float,
        outcome: AttemptOutcome,
        now_s: float,
    ) -> None:
        """Count a request that has ended."""
        record = self.records.setdefault((service, target), _Record())
        if deadline_s in record.deadlines:
            record.deadlines.remove(deadline_s)
        if outcome is AttemptOutcome.SHED:
            recent = record.shed_s is not None and now_s - record.shed_s < 4 * SHED_HALF_LIFE_S
            record.sheds = record.sheds + 1 if recent else 1
            record.shed_s = now_s
        elif outcome is AttemptOutcome.ANSWERED:
            record.answered_s = now_s

    def forget(self, service: str, targets: frozenset[str]) -> None:
        """Drop targets that a service no longer has, once nothing runs there."""
        gone = [
            key
            for key, record in self.records.items()
            if key[0] == service and key[1] not in targets and not record.deadlines
        ]
        for key in gone:
            del self.records[key]
