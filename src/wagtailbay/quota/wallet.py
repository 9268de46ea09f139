"""Tokens of one workspace that a VM holds, and what it does without an owner."""

import trio
from attrs import define, field

from wagtailbay.limits import DecayingRate, TokenBucket
from wagtailbay.quota.const import (
    ASK_RETRY_S,
    BATCH_S,
    DEMAND_WINDOW_S,
    FALLBACK_BURST_S,
    FALLBACK_FRACTION,
    FALLBACK_HALF_LIFE_S,
    GRANT_WINDOW_S,
    LONG_GRANT_WINDOW_S,
    MAX_REFUSAL_S,
    MIN_REFUSAL_S,
    REFILL_AHEAD_S,
    TOKEN_TTL_S,
)
from wagtailbay.quota.models import TokenGrant


@define
class Wallet:
    """Tokens of one workspace at one VM that does not own its rate.

    Attributes:
        tokens: Unspent tokens, which expire at expires_s.
        demand: Rate of the workspace's requests at this VM.
        granted: Rate of the tokens that owners granted to this VM.
        granted_long: The same over a longer time. In a small part of a split fleet, an owner grants
            the whole rate to a few VMs until it knows, which must not raise what they use later.
        waiting: Number of requests that wait for tokens.
        answered: Set when the request to the owner that is on its way has ended; None if there is
            none.
        refused_until_s: Until when requests are refused by the owner's last answer.
        available_s: When another token can be expected, from that answer.
        ask_after_s: Earliest time of the next request to an owner, after a failed one.
        fallback: Bucket used without an owner; None while an owner answers.
        owner_lost_s: When the owner stopped answering.
    """

    tokens: int = 0
    expires_s: float = float("-inf")
    demand: DecayingRate = field(factory=lambda: DecayingRate(DEMAND_WINDOW_S))
    granted: DecayingRate = field(factory=lambda: DecayingRate(GRANT_WINDOW_S))
    granted_long: DecayingRate = field(factory=lambda: DecayingRate(LONG_GRANT_WINDOW_S))
    waiting: int = 0
    answered: trio.Event | None = None
    refused_until_s: float = float("-inf")
    available_s: float = float("-inf")
    ask_after_s: float = float("-inf")
    fallback: TokenBucket | None = None
    owner_lost_s: float = float("-inf")

    def take(self, now_s: float) -> bool:
        """Spend a token; return False if none is left."""
        if now_s >= self.expires_s:
            self.tokens = 0
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def wanted(self, now_s: float) -> int:
        """Return how many tokens to request: for the waiting requests and the next ones."""
        return self.waiting + int(self.demand.at(now_s) * BATCH_S)

    def needs_refill(self, now_s: float) -> bool:
        """Return whether to request tokens before those in hand are spent."""
        expected = self.demand.at(now_s)
        if expected * BATCH_S < 1 or now_s < max(self.refused_until_s, self.ask_after_s):
            return False
        return self.tokens <= expected * REFILL_AHEAD_S

    def record_grant(self, grant: TokenGrant, now_s: float, needed: int) -> None:
        """Add granted tokens; refuse requests for a while if there were fewer than needed."""
        self.fallback = None
        if now_s >= self.expires_s:
            self.tokens = 0
        if grant.tokens:
            self.tokens += grant.tokens
            self.expires_s = now_s + TOKEN_TTL_S
            self.record_spent(grant.tokens, now_s)
        # Requests that came after the call may need more than was asked for.
        if grant.tokens < needed and grant.wait_ms > 0:
            self.available_s = now_s + grant.wait_ms / 1000
            refusal_s = min(MAX_REFUSAL_S, max(MIN_REFUSAL_S, grant.wait_ms / 1000))
            self.refused_until_s = now_s + refusal_s

    def record_spent(self, tokens: int, now_s: float) -> None:
        """Count tokens that this VM was granted."""
        self.granted.record(tokens, now_s)
        self.granted_long.record(tokens, now_s)

    def record_failure(self, asked_s: float, now_s: float) -> None:
        """Use the fallback until an owner answers again.

        Args:
            asked_s: When the owner was asked in vain. The fallback collects tokens from then on.
        """
        self.ask_after_s = now_s + ASK_RETRY_S
        if self.fallback is None:
            self.fallback, self.owner_lost_s = TokenBucket(0.0, 1.0, 0.0, asked_s), asked_s
            self._set_fallback_rate(asked_s)

    def take_fallback(self, now_s: float) -> bool:
        """Spend a token of the fallback; return False if none is left or an owner answers."""
        if self.fallback is None:
            return False
        taken = self.fallback.take(1.0, now_s)
        self._set_fallback_rate(now_s)
        return taken

    def _set_fallback_rate(self, now_s: float) -> None:
        """Lower the rate of the fallback by the time since the owner was lost."""
        lost_for_s = max(0.0, now_s - self.owner_lost_s)
        granted_per_s = min(
            self.granted.at(self.owner_lost_s), self.granted_long.at(self.owner_lost_s)
        )
        rate_per_s = FALLBACK_FRACTION * granted_per_s * 0.5 ** (lost_for_s / FALLBACK_HALF_LIFE_S)
        self.fallback.resize(rate_per_s, max(1.0, rate_per_s * FALLBACK_BURST_S), now_s)
