"""Follow the planned shares of one service gradually, and assign requests by them."""

from functools import lru_cache

from attrs import define, field
from xxhash import xxh64_intdigest

from wagtailbay.regions.const import (
    BORDER_WIDTH,
    MAX_CREDIT,
    MAX_OVERDRAFT,
    MIN_SHARE,
    NO_LOCAL_TARGETS_STEP_PER_S,
)
from wagtailbay.regions.plan import shift


@define
class ServiceShares:
    """Shares of one service's requests at this VM that run in other regions.

    Attributes:
        step_per_s: Largest change of the shares in total per second.
        goals: Shares by the newest plan.
        shares: Shares in force.
        credits: Requests that each region is owed; None is the own region.
        planned_s: When the newest plan was made.
        updated_s: When the shares last followed it.
    """

    step_per_s: float
    goals: dict[str, float] = field(factory=dict)
    shares: dict[str, float] = field(factory=dict)
    credits: dict[str | None, float] = field(factory=dict)
    planned_s: float = float("-inf")
    updated_s: float | None = None

    @property
    def away(self) -> float:
        """Return the share of requests that runs in other regions."""
        return sum(self.shares.values())

    def is_in_force(self) -> bool:
        """Return whether any share runs, or is to run, in another region."""
        return bool(self.goals) or self.away >= MIN_SHARE

    def adopt(self, goals: dict[str, float], now_s: float, *, at_once: bool) -> None:
        """Set the shares of a new plan."""
        self.goals, self.planned_s = goals, now_s
        if at_once:
            self.shares, self.updated_s = dict(goals), now_s

    def seed(self, away: float, now_s: float) -> None:
        """Begin with the share that ran in other regions so far, divided as the plan does.

        A plan without goals keeps no more of the shares of an earlier plan than still runs there.
        """
        basis = self.goals or self.shares
        total = sum(basis.values())
        kept = min(away, total) if not self.goals else away
        self.shares = {to: kept * share / total for to, share in basis.items()} if total else {}
        self.updated_s = now_s

    def follow(self, has_local: bool, now_s: float) -> None:
        """Move the shares towards the goals."""
        elapsed_s = 0.0 if self.updated_s is None else max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        distance = shift(self.shares, self.goals)
        if distance <= 0:
            return
        step = elapsed_s * (self.step_per_s if has_local else NO_LOCAL_TARGETS_STEP_PER_S)
        fraction = min(1.0, step / distance)
        self.shares = {
            to: share + fraction * (self.goals.get(to, 0.0) - share)
            for to, share in (dict.fromkeys(self.goals, 0.0) | self.shares).items()
        }

    def assign(self, position: float | None = None) -> str | None:
        """Return the other region in which the next request runs, None for the own one.

        Args:
            position: Position of the request's object from 0 to 1. An object far from the
                border of a share keeps its region. None for a request without an object.
        """
        self.credits = {
            to: max(-MAX_CREDIT, min(MAX_CREDIT, self.credits.get(to, 0.0) + share))
            for to, share in (self.shares | {None: 1.0 - self.away}).items()
        }
        to, distance = self._region_at(position)
        if distance < BORDER_WIDTH and self.credits[to] < 1.0 - MAX_OVERDRAFT:
            to = max(self.credits, key=self.credits.__getitem__)
        self.credits[to] -= 1.0
        return to

    def _region_at(self, position: float | None) -> tuple[str | None, float]:
        """Return the region whose part of the range from 0 to 1 contains a position.

        Returns:
            The region, None for the own one, and the distance of the position to a border.
        """
        if position is None:
            return max(self.credits, key=self.credits.__getitem__), 1.0
        upper, found, distance = 0.0, [], 1.0
        for to in sorted(self.shares):
            upper += self.shares[to]
            distance = min(distance, abs(position - upper))
            if position < upper:
                found.append(to)
        return found[0] if found else None, distance


@lru_cache(maxsize=16_384)
def position_of(service: str, affinity: str) -> float:
    """Return the position of an object, from 0 to 1, which is the same at all VMs."""
    return xxh64_intdigest(f"region\0{service}\0{affinity}".encode()) / 2**64
