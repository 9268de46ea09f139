"""State of the calls from this VM to one owner of rates."""

from attrs import define, field

from wagtailbay.quota.const import (
    ASK_RETRY_S,
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
    """

    owner: str
    wallets: dict[str, Wallet] = field(factory=dict)
    round_trip: RoundTrip = field(factory=RoundTrip)
    is_running: bool = False
    asked_s: float | None = None
    called_s: float = float("-inf")
    lost_since_s: float | None = None
    ask_after_s: float = float("-inf")

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

    def record_failure(self, now_s: float) -> None:
        """Record that the call in flight failed."""
        if self.lost_since_s is None:
            self.lost_since_s = self.called_s
        self.asked_s, self.ask_after_s = None, now_s + ASK_RETRY_S
