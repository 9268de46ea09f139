"""Detect a failing new version by the failure rates of both versions over the same time."""

from attrs import define

from wagtailbay.rollout.const import (
    EVIDENCE_HALF_LIFE_S,
    FAILURE_RATE_FACTOR,
    FAILURE_RATE_MARGIN,
    MIN_FAILURES,
)
from wagtailbay.rollout.models import RouteCounts


@define
class RouteCounter:
    """Exponentially decaying counts of one route's answers; the half-life is EVIDENCE_HALF_LIFE_S.

    Attributes:
        old_answers: Decayed count of the old version's answers.
        old_failures: Decayed count of the old version's failures.
        new_answers: Decayed count of the new version's answers.
        new_failures: Decayed count of the new version's failures.
    """

    old_answers: float = 0.0
    old_failures: float = 0.0
    new_answers: float = 0.0
    new_failures: float = 0.0
    updated_s: float = 0.0

    def record(self, new_version: bool, failed: bool, now_s: float) -> None:
        """Count one answer of the old or the new version."""
        self.decay(now_s)
        if new_version:
            self.new_answers += 1
            self.new_failures += failed
        else:
            self.old_answers += 1
            self.old_failures += failed

    def decay(self, now_s: float) -> None:
        """Reduce the counts by the time since the last update."""
        keep = 0.5 ** (max(0.0, now_s - self.updated_s) / EVIDENCE_HALF_LIFE_S)
        self.old_answers *= keep
        self.old_failures *= keep
        self.new_answers *= keep
        self.new_failures *= keep
        self.updated_s = max(self.updated_s, now_s)

    def counts(self, now_s: float) -> RouteCounts:
        """Return old answers, old failures, new answers and new failures."""
        self.decay(now_s)
        return (
            round(self.old_answers, 2),
            round(self.old_failures, 2),
            round(self.new_answers, 2),
            round(self.new_failures, 2),
        )


def find_failure_reason(counts_by_route: dict[str, RouteCounts]) -> str | None:
    """Return why the new version is failing according to all VMs' counts, None if it is not.

    Each route is checked separately before all routes together, since a version may fail on a
    single route.
    """
    together = tuple(map(sum, zip(*counts_by_route.values(), strict=True))) or (0.0,) * 4
    for route, counts in (*counts_by_route.items(), ("all routes", together)):
        old, old_failures, new, new_failures = counts
        if new_failures < MIN_FAILURES:
            continue
        old_share = (old_failures + 0.5) / (old + 1.0) if old else 0.0
        new_share = new_failures / new
        if (
            new_share > FAILURE_RATE_FACTOR * old_share
            and new_share > old_share + FAILURE_RATE_MARGIN
        ):
            return f"{new_failures:.0f} of {new:.0f} answers bad on {route}, {old_share:.3f} before"
    return None
