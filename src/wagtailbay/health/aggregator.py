"""Aggregate the reports of several probers."""

from collections.abc import Callable, Iterator
from typing import Any

from attrs import define, field

from wagtailbay.health.const import (
    INDEX_INTERVAL_S,
    LOAD_HALF_LIFE_S,
    REPORT_TTL_MS,
    TARGET_REPORT_KIND,
)
from wagtailbay.health.models import ReportedLoad, TargetReport, TargetState, TargetView
from wagtailbay.membership import FactTable

# A report, the time it was made on this VM's clock, and the VM that made it.
ReceivedReport = tuple[TargetReport, float, str]
# The aggregated state, the most recently reported load, and the time of that report.
CombinedState = tuple[TargetState, ReportedLoad | None, float]


@define
class HealthAggregator:
    """Aggregates the target reports in the fact table, including this VM's own.

    A target is draining as soon as one fresh report says so. It is failed only if all fresh
    reports say so, because a single prober may be partitioned. Without a fresh report its state
    is unknown.

    Attributes:
        decay: Test-only switch; False doesn't decay the load by its age.
        reports: Reports by service and target, as of the last rebuild of the index.
        combined: Aggregated reports of the targets requested since the last rebuild.
    """

    facts: FactTable
    decay: bool = True
    reports: dict[tuple[str, str], list[ReceivedReport]] = field(factory=dict)
    combined: dict[tuple[str, str], CombinedState] = field(factory=dict)
    index_built_s: float | None = None
    index_sequence: int = -1
    index_generation: int = 0

    def view(self, service: str, target: str, now_s: float) -> TargetView:
        """Return the aggregated reports of a target."""
        self._refresh_index(now_s)
        received = self.reports.get((service, target))
        if received is None:
            return TargetView()
        if (service, target) not in self.combined:
            self.combined[(service, target)] = _combine(received)
        state, load, reported_s = self.combined[(service, target)]
        if load is None:
            return TargetView(state)
        age_s = max(0.0, now_s - reported_s) if self.decay else 0.0
        decayed = load.in_flight * 0.5 ** (age_s / LOAD_HALF_LIFE_S)
        return TargetView(state, decayed, load.slots, load.in_flight)

    def generation(self, now_s: float) -> int:
        """Return a number that increases with each rebuild of the index."""
        self._refresh_index(now_s)
        return self.index_generation

    def last_report_s(
        self, service: str, target: str, now_s: float, include: Callable[[str], bool]
    ) -> float | None:
        """Return the time of the newest fresh report of the included VMs, or None."""
        fresh = self._fresh_reports(service, target, now_s)
        return max((reported_s for _, reported_s, vm in fresh if include(vm)), default=None)

    def _fresh_reports(self, service: str, target: str, now_s: float) -> Iterator[ReceivedReport]:
        self._refresh_index(now_s)
        for received in self.reports.get((service, target), ()):
            if now_s < received[1] + REPORT_TTL_MS / 1000:
                yield received

    def _refresh_index(self, now_s: float) -> None:
        """Rebuild the index if it is stale or this VM has published facts since."""
        is_recent = (
            self.index_built_s is not None and 0 <= now_s - self.index_built_s < INDEX_INTERVAL_S
        )
        if is_recent and self.index_sequence == self.facts.sequence:
            return
        reports: dict[tuple[str, str], list[ReceivedReport]] = {}
        for fact in self.facts.of_kind(TARGET_REPORT_KIND, now_s):
            if _is_report(fact.value):
                reported_s = min(now_s, fact.expires_s - REPORT_TTL_MS / 1000)
                key = (fact.value.service, fact.value.target)
                reports.setdefault(key, []).append((fact.value, reported_s, fact.vm))
        self.reports, self.index_built_s = reports, now_s
        self.combined = {}
        self.index_sequence = self.facts.sequence
        self.index_generation += 1


def _combine(received: list[ReceivedReport]) -> CombinedState:
    states = {report.state for report, _, _ in received}
    if TargetState.DRAINING in states:
        state = TargetState.DRAINING
    else:
        state = TargetState.OK if TargetState.OK in states else TargetState.FAILED
    loads = [
        (reported_s, report.load) for report, reported_s, _ in received if report.load is not None
    ]
    reported_s, load = max(loads, key=lambda item: item[0], default=(0.0, None))
    return state, load, reported_s


def _is_report(value: Any) -> bool:
    if not isinstance(value, TargetReport) or not isinstance(value.state, TargetState):
        return False
    if not isinstance(value.service, str) or not isinstance(value.target, str):
        return False
    return value.load is None or isinstance(value.load, ReportedLoad)
