"""Judge a new version by its bad answers, against the old one's at the same time."""

from attrs import define

from wagtailbay.rollout.const import BAD_FACTOR, BAD_MARGIN, EVIDENCE_WINDOW_S, MIN_BAD
from wagtailbay.rollout.models import RouteCounts


@define
class RouteTally:
    """Count one route's answers with fading weight; what came one window ago counts half.

    Attributes:
        total: Fading counts of answers of the old and the new version.
        bad: Fading counts of bad ones.
    """

    old_total: float = 0.0
    old_bad: float = 0.0
    new_total: float = 0.0
    new_bad: float = 0.0
    updated_s: float = 0.0

    def record(self, new_version: bool, bad: bool, now_s: float) -> None:
        """Count one answer."""
        self.fade(now_s)
        if new_version:
            self.new_total += 1
            self.new_bad += bad
        else:
            self.old_total += 1
            self.old_bad += bad

    def fade(self, now_s: float) -> None:
        """Let past counts fade."""
        keep = 0.5 ** (max(0.0, now_s - self.updated_s) / EVIDENCE_WINDOW_S)
        self.old_total *= keep
        self.old_bad *= keep
        self.new_total *= keep
        self.new_bad *= keep
        self.updated_s = max(self.updated_s, now_s)

    def counts(self, now_s: float) -> RouteCounts:
        """Return the counts: old, old bad, new, new bad."""
        self.fade(now_s)
        return (
            round(self.old_total, 2),
            round(self.old_bad, 2),
            round(self.new_total, 2),
            round(self.new_bad, 2),
        )


def find_fault(counts_by_route: dict[str, RouteCounts]) -> str | None:
    """Return why the new version is bad by the counts of all VMs, None if it is not.

    Each route is judged alone and then all together, since some versions fail on one route only.
    """
    together = tuple(map(sum, zip(*counts_by_route.values(), strict=True))) or (0.0,) * 4
    for route, counts in (*counts_by_route.items(), ("all routes", together)):
        old, old_bad, new, new_bad = counts
        if new_bad < MIN_BAD:
            continue
        old_share = (old_bad + 0.5) / (old + 1.0) if old else 0.0
        new_share = new_bad / new
        if new_share > BAD_FACTOR * old_share and new_share > old_share + BAD_MARGIN:
            return f"{new_bad:.0f} of {new:.0f} answers bad on {route}, {old_share:.3f} before"
    return None
