"""Shares of a service's capacity that priorities and workspaces have received."""

from collections.abc import Iterable
from math import inf

from attrs import define, field

from wagtailbay.admission.const import SHARE_WINDOW_S, STARVATION_PERIOD
from wagtailbay.limits.decay import DecayingRate


@define
class PriorityShare:
    """Capacity that the requests of one priority have received.

    Attributes:
        credit: Admissions of any priority while this one had demand, less a period for each of its
            own.
        demanded_s: When a request of this priority last arrived or waited.
        admitted: Rate of its admissions.
        workspaces: Rate of the admissions of each workspace with recent demand.
        demands_s: When a request of each workspace last arrived or waited.
        pruned_s: When workspaces without recent demand were last removed.
    """

    credit: int = 0
    demanded_s: float = -inf
    admitted: DecayingRate = field(factory=lambda: DecayingRate(SHARE_WINDOW_S))
    workspaces: dict[str, DecayingRate] = field(factory=dict)
    demands_s: dict[str, float] = field(factory=dict)
    pruned_s: float = -inf

    def record_demand(self, workspace: str, now_s: float) -> None:
        """Record that a request of a workspace arrived or waits."""
        self.demanded_s = self.demands_s[workspace] = now_s

    def record_admitted(self, workspace: str, now_s: float) -> None:
        """Record that a request of a workspace was sent to a target."""
        self.admitted.record(1, now_s)
        rate = self.workspaces.setdefault(workspace, DecayingRate(SHARE_WINDOW_S))
        rate.record(1, now_s)

    def is_above_even_part(self, workspace: str, now_s: float) -> bool:
        """Return whether a workspace has received more than an even part of the capacity.

        One admission more than the even part is tolerated, since admissions are whole.
        """
        rate = self.workspaces.get(workspace)
        if rate is None:
            return False
        if now_s >= self.pruned_s + SHARE_WINDOW_S / 4:
            self._prune(now_s)
        even_per_s = self.admitted.at(now_s) / max(1, len(self.demands_s))
        return rate.at(now_s) > even_per_s + 1 / SHARE_WINDOW_S

    def _prune(self, now_s: float) -> None:
        """Forget the workspaces without recent demand, which have no part."""
        self.pruned_s, oldest_s = now_s, now_s - SHARE_WINDOW_S
        for name in [n for n, demanded_s in self.demands_s.items() if demanded_s < oldest_s]:
            del self.demands_s[name]
            self.workspaces.pop(name, None)


@define
class CapacityShares:
    """Divides the capacity of a service among priorities and workspaces."""

    priorities: dict[int, PriorityShare] = field(factory=dict)

    def of(self, priority: int) -> PriorityShare:
        """Return the share of a priority."""
        return self.priorities.setdefault(priority, PriorityShare())

    def is_above_even_part(self, priority: int, workspace: str, now_s: float) -> bool:
        """Return whether a workspace has received more than its part among its priority."""
        return self.of(priority).is_above_even_part(workspace, now_s)

    def record_admitted(self, priority: int, workspace: str, now_s: float) -> None:
        """Record an admission, which gives each priority with demand a credit."""
        oldest_s = now_s - SHARE_WINDOW_S
        period = self.period(now_s)
        for share in self.priorities.values():
            if share.demanded_s >= oldest_s:
                share.credit = min(2 * period, share.credit + 1)
        share = self.of(priority)
        # What exceeds a period makes up for turns that it missed.
        share.credit = max(0, share.credit - period)
        share.record_admitted(workspace, now_s)

    def period(self, now_s: float) -> int:
        """Return how many admissions may pass a priority; more if that many have demand."""
        oldest_s = now_s - SHARE_WINDOW_S
        demanding = sum(share.demanded_s >= oldest_s for share in self.priorities.values())
        return max(STARVATION_PERIOD, demanding)

    def due_priority(self, waiting: Iterable[int], now_s: float) -> int | None:
        """Return the waiting priority whose turn has come by the starvation bound, if any."""
        period = self.period(now_s)
        # The next admission is the last one of the period.
        due = [p for p in waiting if self.of(p).credit >= period - 1]
        return max(due, key=lambda p: (self.of(p).credit, -p), default=None)

    def admissions_until_due(self, priority: int, now_s: float) -> int:
        """Return how many admissions pass a priority before its turn comes."""
        return max(0, self.period(now_s) - 1 - self.of(priority).credit)

    def more_urgent_per_s(self, priority: int, now_s: float) -> float:
        """Return the rate of admissions of more urgent priorities."""
        return sum(
            share.admitted.at(now_s) for other, share in self.priorities.items() if other < priority
        )
