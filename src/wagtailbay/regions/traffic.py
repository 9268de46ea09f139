"""Count this VM's requests by service and region, and estimate the demand of all VMs."""

from typing import Self

from attrs import define, field

from wagtailbay.placement import LoadReport
from wagtailbay.regions.const import (
    DEMAND_HALF_LIFE_S,
    DEMAND_JUMP_FACTOR,
    LOOKAHEAD_S,
    MAX_LOOKAHEAD_CHANGE,
    SLOPE_WEIGHT,
    WORK_HALF_LIFE_S,
)
from wagtailbay.regions.models import RegionCounts

# An answer's contribution to the sums fades to this before it is removed.
MIN_FADED_ANSWERS = 0.05


@define
class RegionTraffic:
    """Requests of one service at this VM since the last exchange, and what they took.

    Attributes:
        latency_goal_ms: Latency goal of the newest request.
        away: Requests that were sent to another region, by that region.
        pinned: Requests outside the plan by the region to which they were sent.
        work_s: Time that requests took without waiting, by region; older ones fade.
        answers: Number of requests in these sums.
    """

    latency_goal_ms: float = 0.0
    demand: int = 0
    away: dict[str, int] = field(factory=dict)
    pinned: dict[str, int] = field(factory=dict)
    work_s: dict[str, float] = field(factory=dict)
    answers: dict[str, float] = field(factory=dict)

    def record_answer(self, region: str, latency_ms: float, report: LoadReport | None) -> None:
        """Record the time that an answered request occupied a slot.

        The time that it waited is estimated from the queue that its target reports.
        """
        work_s = latency_ms / 1000
        if report is not None and report.slots > 0:
            work_s *= report.slots / max(report.slots, report.running + report.waiting)
        self.work_s[region] = self.work_s.get(region, 0.0) + work_s
        self.answers[region] = self.answers.get(region, 0.0) + 1.0

    def end_interval(self, elapsed_s: float) -> None:
        """Start counting anew."""
        self.demand, self.away, self.pinned = 0, {}, {}
        weight = 0.5 ** (elapsed_s / WORK_HALF_LIFE_S)
        kept = {r: weight * n for r, n in self.answers.items() if weight * n > MIN_FADED_ANSWERS}
        self.answers, self.work_s = kept, {r: weight * self.work_s[r] for r in kept}


@define
class TrafficCounter:
    """Counts this VM's requests and answers by service.

    Attributes:
        first_request_s: When the first request arrived; None before.
        last: What was counted in the last complete interval.
    """

    region: str
    services: dict[str, RegionTraffic] = field(factory=dict)
    first_request_s: float | None = None
    interval_start_s: float | None = None
    last: RegionCounts = field(factory=RegionCounts)

    def of(self, service: str) -> RegionTraffic:
        """Return the counts of one service."""
        traffic = self.services.get(service)
        if traffic is None:
            traffic = self.services[service] = RegionTraffic()
        return traffic

    def record_demand(self, service: str, latency_goal_ms: float, now_s: float) -> None:
        """Count a request that the plan may send to any region."""
        if self.first_request_s is None:
            self.first_request_s = now_s
        traffic = self.of(service)
        traffic.demand += 1
        traffic.latency_goal_ms = latency_goal_ms

    def end_interval(self, now_s: float) -> RegionCounts:
        """Return what was counted since the last call, as rates."""
        start_s = self.interval_start_s
        if self.first_request_s is not None and (start_s is None or start_s < self.first_request_s):
            start_s = self.first_request_s
        elapsed_s = max(0.05, now_s - start_s) if start_s is not None else 1.0
        self.interval_start_s = now_s
        counts = RegionCounts(vms={self.region: 1})
        for service, traffic in self.services.items():
            self._add(counts, service, traffic, elapsed_s)
            traffic.end_interval(elapsed_s)
        self.last = counts
        return counts

    def _add(
        self, counts: RegionCounts, service: str, traffic: RegionTraffic, elapsed_s: float
    ) -> None:
        def per_s(requests: dict[str, int]) -> dict[str, float]:
            return {region: round(count / elapsed_s, 1) for region, count in requests.items()}

        if traffic.demand:
            counts.demand_per_s[service] = per_s({self.region: traffic.demand})
        if traffic.away:
            counts.away_per_s[service] = {self.region: per_s(traffic.away)}
        if traffic.pinned:
            counts.pinned_per_s[service] = per_s(traffic.pinned)
        if traffic.answers:
            counts.work_ms[service] = {r: round(1000 * s) for r, s in traffic.work_s.items()}
            counts.answers[service] = {r: round(n, 1) for r, n in traffic.answers.items()}


@define
class DemandTrend:
    """Estimates demand and its slope from sums that arrive periodically."""

    level_per_s: float
    updated_s: float
    slope: float = 0.0

    def observe(self, demand_per_s: float, now_s: float) -> Self:
        """Add the newest sum."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s <= 0:
            return self
        expected = max(0.0, self.level_per_s + self.slope * elapsed_s)
        self.updated_s = now_s
        if demand_per_s > DEMAND_JUMP_FACTOR * expected:
            self.level_per_s, self.slope = demand_per_s, 0.0
            return self
        error = demand_per_s - expected
        self.level_per_s = expected + (1 - 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)) * error
        self.slope += SLOPE_WEIGHT * min(1.0, elapsed_s) * error
        return self

    def expected_per_s(self) -> float:
        """Return the demand expected by the time that a plan has taken effect."""
        limit = MAX_LOOKAHEAD_CHANGE * self.level_per_s
        change = max(-limit, min(limit, self.slope * LOOKAHEAD_S))
        return max(0.0, self.level_per_s + change)
