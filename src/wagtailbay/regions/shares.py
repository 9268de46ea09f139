"""Follow the planned shares of one service gradually, and assign requests by them."""

from attrs import define, field

from wagtailbay.regions.const import MIN_SHARE, NO_LOCAL_TARGETS_STEP_PER_S
from wagtailbay.regions.plan import shift


@define
class ServiceShares:
    """Shares of one service's requests at this VM that run in other regions.

    Attributes:
        step_per_s: Largest change of the shares in total per second.
        goals: Shares by the newest plan.
        shares: Shares in force.
        credits: Accumulated fraction of a request for each region.
        planned_s: When the newest plan was made.
        updated_s: When the shares last followed it.
    """

    step_per_s: float
    goals: dict[str, float] = field(factory=dict)
    shares: dict[str, float] = field(factory=dict)
    credits: dict[str, float] = field(factory=dict)
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

    def assign(self) -> str | None:
        """Return the other region in which the next request runs, None for the own one."""
        for to, share in self.shares.items():
            self.credits[to] = self.credits.get(to, 0.0) + share
        to = max(self.credits, key=self.credits.__getitem__, default=None)
        if to is None or self.credits[to] < 1.0:
            return None
        self.credits[to] -= 1.0
        return to
