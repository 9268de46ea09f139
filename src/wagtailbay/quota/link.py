"""State of the calls from this VM to one owner of rates."""

from attrs import define, field

from wagtailbay.membership import TokenDemand
from wagtailbay.membership.const import MAX_TOKEN_DEMANDS
from wagtailbay.quota.const import (
    ASK_RETRY_S,
    DEFAULT_MAX_WAIT_S,
    FIRST_WAIT_FACTOR,
    INITIAL_ROUND_TRIP_S,
    LOST_ROUND_TRIPS,
    MAX_LOST_S,
    MIN_LOST_S,
    ROUND_TRIP_WEIGHT,
    SPARE_INTERVAL_S,
)
from wagtailbay.quota.wallet import Wallet


@define
class RoundTrip:
    """Mean and deviation of the round trips to one owner."""

    mean_s: float = INITIAL_ROUND_TRIP_S
    deviation_s: float = INITIAL_ROUND_TRIP_S / 2

    def record(self, round_trip_s: float) -> None:
        """Record a measured round trip."""
        difference_s = round_trip_s - self.mean_s
        self.mean_s += ROUND_TRIP_WEIGHT * difference_s
        self.deviation_s += 2 * ROUND_TRIP_WEIGHT * (abs(difference_s) - self.deviation_s)

    def usual_s(self) -> float:
        """Return what most round trips take at most."""
        return self.mean_s + 2 * self.deviation_s

    def lost_after_s(self) -> float:
        """Return after which time without an answer the owner counts as lost."""
        longest_usual_s = self.mean_s + 4 * self.deviation_s
        return min(MAX_LOST_S, max(MIN_LOST_S, LOST_ROUND_TRIPS * longest_usual_s))


@define
class OwnerLink:
    """Calls to one owner, of which one at most is in flight.

    Attributes:
        wallets: Wallets of the workspaces whose requests ask this owner.
        is_running: Whether a task makes calls to the owner.
        asked_s: When the call in flight was sent, None without one.
        called_s: When the last call was sent.
        lost_since_s: When the first call since the last answer was sent that failed; None after an
            answer.
        ask_after_s: Earliest time of the next call, after a failed one.
        has_answered: Whether the owner has answered a call.
    """

    owner: str
    wallets: dict[str, Wallet] = field(factory=dict)
    round_trip: RoundTrip = field(factory=RoundTrip)
    is_running: bool = False
    asked_s: float | None = None
    called_s: float = float("-inf")
    lost_since_s: float | None = None
    ask_after_s: float = float("-inf")
    has_answered: bool = False

    def max_wait_s(self, max_wait_s: float) -> float:
        """Return how long a request may wait that may usually wait for max_wait_s."""
        if self.has_answered:
            return max_wait_s
        return max(max_wait_s, min(DEFAULT_MAX_WAIT_S, FIRST_WAIT_FACTOR * max_wait_s))

    def may_need_call(self, workspace: str, now_s: float) -> bool:
        """Return whether the demand of one workspace is a reason to call the owner now."""
        wallet = self.wallets.get(workspace)
        if wallet is None or now_s < max(self.ask_after_s, wallet.asks_after_s()):
            return False
        if wallet.needs_call(now_s, self.round_trip.mean_s):
            return True
        return self.is_due(now_s) and self._demand(workspace, wallet, now_s).is_needed()

    def is_due(self, now_s: float) -> bool:
        """Return whether spare tokens alone may cause a call."""
        return now_s >= self.called_s + SPARE_INTERVAL_S

    def demands(self, now_s: float) -> tuple[TokenDemand, ...]:
        """Return the demands of the next call, those with waiting requests first.

        They are empty if no call is due.
        """
        if now_s < self.ask_after_s:
            return ()
        demands = [
            demand
            for name, wallet in self.wallets.items()
            if now_s >= wallet.asks_after_s()
            and (demand := self._demand(name, wallet, now_s)).is_needed()
        ]
        round_trip_s = self.round_trip.mean_s
        if not self.is_due(now_s) and not any(
            self.wallets[demand.workspace].needs_call(now_s, round_trip_s) for demand in demands
        ):
            return ()
        if len(demands) > MAX_TOKEN_DEMANDS:
            demands.sort(key=lambda demand: not self.wallets[demand.workspace].waiters)
        return tuple(demands[:MAX_TOKEN_DEMANDS])

    def _demand(self, workspace: str, wallet: Wallet, now_s: float) -> TokenDemand:
        return wallet.demand_at(workspace, now_s, self.round_trip.mean_s, self.horizon_s())

    def unanswered_since_s(self, now_s: float) -> float | None:
        """Return since when the owner counts as lost, None if it does not."""
        if self.lost_since_s is not None:
            return self.lost_since_s
        if self.asked_s is None or now_s - self.asked_s <= self.round_trip.lost_after_s():
            return None
        return self.asked_s

    def horizon_s(self) -> float:
        """Return the time that spare tokens must cover, until the answer to the next call."""
        return self.round_trip.usual_s() + SPARE_INTERVAL_S

    def record_call(self, now_s: float) -> None:
        """Record that a call is sent."""
        self.asked_s = self.called_s = now_s

    def record_answer(self, now_s: float) -> None:
        """Record the answer to the call in flight."""
        self.round_trip.record(now_s - self.called_s)
        self.asked_s = self.lost_since_s = None
        self.has_answered = True

    def record_failure(self, now_s: float) -> None:
        """Record that the call in flight failed."""
        if self.lost_since_s is None:
            self.lost_since_s = self.called_s
        self.asked_s, self.ask_after_s = None, now_s + ASK_RETRY_S
