"""Combine the reports of several probers."""

from collections.abc import Callable, Iterator
from typing import Any

from attrs import define, field

from wagtailbay.health.const import (
    INDEX_INTERVAL_S,
    LOAD_HALF_LIFE_S,
    REPORT_TTL_MS,
    TARGET_REPORT_KIND,
)
from wagtailbay.health.models import LoadAnswer, TargetReport, TargetState, TargetView
from wagtailbay.membership import FactTable

# A report, when it was made on this VM's clock, and the VM that made it.
Heard = tuple[TargetReport, float, str]
# The state by all reports, and the newest load with the time of its report.
Combined = tuple[TargetState, LoadAnswer | None, float]


@define
class TargetHealth:
    """Tell the state of targets from the reports in the fact table, this VM's own included.

    A target drains as soon as one fresh report says so. It has failed only if all fresh reports
    say so, since one prober alone may be cut off. Without a fresh report its state is unknown.

    Attributes:
        decay: Test-only switch; False keeps old load at full weight.
        combined: The reports of the targets that were asked for since the index was built.
    """

    facts: FactTable
    decay: bool = True
    reports: dict[tuple[str, str], list[Heard]] = field(factory=dict)
    combined: dict[tuple[str, str], Combined] = field(factory=dict)
    indexed_s: float | None = None
    indexed_sequence: int = -1
    indexes: int = 0

    def view(self, service: str, target: str, now_s: float) -> TargetView:
        """Return what is known of a target."""
        self._index(now_s)
        heard = self.reports.get((service, target))
        if heard is None:
            return TargetView()
        if (service, target) not in self.combined:
            self.combined[(service, target)] = _combine(heard)
        state, load, made_s = self.combined[(service, target)]
        if load is None:
            return TargetView(state)
        age_s = max(0.0, now_s - made_s) if self.decay else 0.0
        decayed = load.in_flight * 0.5 ** (age_s / LOAD_HALF_LIFE_S)
        return TargetView(state, decayed, load.slots, load.in_flight)

    def changes(self, now_s: float) -> int:
        """Return the number of the index that holds now."""
        self._index(now_s)
        return self.indexes

    def last_heard_s(
        self, service: str, target: str, now_s: float, counts: Callable[[str], bool]
    ) -> float | None:
        """Return when the newest report of the VMs that count was made, None if none is fresh."""
        fresh = self._fresh(service, target, now_s)
        return max((made_s for _, made_s, vm in fresh if counts(vm)), default=None)

    def _fresh(self, service: str, target: str, now_s: float) -> Iterator[Heard]:
        self._index(now_s)
        for heard in self.reports.get((service, target), ()):
            if now_s < heard[1] + REPORT_TTL_MS / 1000:
                yield heard

    def _index(self, now_s: float) -> None:
        """Rebuild the index when it is old or this VM has published since."""
        recent = self.indexed_s is not None and 0 <= now_s - self.indexed_s < INDEX_INTERVAL_S
        if recent and self.indexed_sequence == self.facts.sequence:
            return
        reports: dict[tuple[str, str], list[Heard]] = {}
        for fact in self.facts.of_kind(TARGET_REPORT_KIND, now_s):
            if _is_report(fact.value):
                made_s = min(now_s, fact.expires_s - REPORT_TTL_MS / 1000)
                key = (fact.value.service, fact.value.target)
                reports.setdefault(key, []).append((fact.value, made_s, fact.vm))
        self.reports, self.indexed_s = reports, now_s
        self.combined = {}
        self.indexed_sequence = self.facts.sequence
        self.indexes += 1


def _combine(heard: list[Heard]) -> Combined:
    states = {report.state for report, _, _ in heard}
    if TargetState.DRAINING in states:
        state = TargetState.DRAINING
    else:
        state = TargetState.OK if TargetState.OK in states else TargetState.FAILED
    loads = [(made_s, report.load) for report, made_s, _ in heard if report.load is not None]
    made_s, load = max(loads, key=lambda item: item[0], default=(0.0, None))
    return state, load, made_s


def _is_report(value: Any) -> bool:
    if not isinstance(value, TargetReport) or not isinstance(value.state, TargetState):
        return False
    if not isinstance(value.service, str) or not isinstance(value.target, str):
        return False
    return value.load is None or isinstance(value.load, LoadAnswer)
