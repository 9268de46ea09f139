"""Tokens of one workspace that a VM holds, and what it does without an owner."""

from collections import deque
from math import sqrt

import trio
from attrs import define, field

from wagtailbay.limits import DecayingRate, TokenBucket
from wagtailbay.membership import TokenDemand, TokenGrant
from wagtailbay.quota.const import (
    BATCH_S,
    DEMAND_WINDOW_S,
    FALLBACK_BURST_S,
    FALLBACK_FRACTION,
    FALLBACK_HALF_LIFE_S,
    GRANT_WINDOW_S,
    LATE_ANSWER_S,
    LONG_GRANT_WINDOW_S,
    MAX_REFUSAL_S,
    MIN_REFILL_PAUSE_S,
    MIN_REFUSAL_S,
    REFILL_AHEAD_S,
    ROUND_TRIPS_AHEAD,
    TOKEN_TTL_S,
)


@define(eq=False)
class Waiter:
    """A request that waits for a token."""

    done: trio.Event = field(factory=trio.Event)
    is_admitted: bool = False


@define
class Wallet:
    """Tokens of one workspace at one VM that does not own its rate.

    Attributes:
        tokens: Unspent tokens, which expire at expires_s.
        spare: Further ones, which are spent when there are no others.
        demand: Rate of the workspace's requests at this VM.
        granted: Rate of the tokens that owners granted to this VM.
        granted_long: The same over a longer time. In a small part of a split fleet, an owner grants
            the whole rate to a few VMs until it knows, which must not raise what they use later.
        waiters: Requests that wait for tokens, the oldest first.
        refused_until_s: Until when requests are refused by the owner's last answer.
        available_s: When another token can be expected, from that answer.
        ask_after_s: Earliest time of the next request to a VM that denied to be the owner.
        fallback: Bucket used without an owner; None while an owner answers.
        owner_lost_s: When the owner stopped answering.
        refill_after_s: Until when tokens are requested for waiting requests only.
        limits: Rate and burst for which tokens in hand were granted.
        cleared_s: When the tokens in hand were dropped; those requested before are not used.
    """

    tokens: int = 0
    spare: int = 0
    expires_s: float = float("-inf")
    demand: DecayingRate = field(factory=lambda: DecayingRate(DEMAND_WINDOW_S))
    granted: DecayingRate = field(factory=lambda: DecayingRate(GRANT_WINDOW_S))
    granted_long: DecayingRate = field(factory=lambda: DecayingRate(LONG_GRANT_WINDOW_S))
    waiters: deque[Waiter] = field(factory=deque)
    refused_until_s: float = float("-inf")
    available_s: float = float("-inf")
    ask_after_s: float = float("-inf")
    fallback: TokenBucket | None = None
    owner_lost_s: float = float("-inf")
    refill_after_s: float = float("-inf")
    limits: tuple[float, float] = (0.0, 0.0)
    cleared_s: float = float("-inf")

    def update_limits(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Drop the tokens in hand if the rate or the burst has become lower."""
        if rate_per_s < self.limits[0] or burst < self.limits[1]:
            self.tokens = self.spare = 0
            self.cleared_s = now_s
        self.limits = (rate_per_s, burst)

    def held(self, now_s: float) -> int:
        """Return the number of tokens in hand."""
        if now_s >= self.expires_s:
            self.tokens = self.spare = 0
        return self.tokens + self.spare

    def take(self, now_s: float) -> bool:
        """Spend a token; return False if none is left."""
        if self.held(now_s) < 1:
            return False
        if self.tokens:
            self.tokens -= 1
        else:
            self.spare -= 1
        return True

    def demand_at(
        self, workspace: str, now_s: float, round_trip_s: float, horizon_s: float
    ) -> TokenDemand:
        """Return what to request: for the waiting requests, the next ones and a spare."""
        expected_per_s = self.demand.at(now_s)
        held = self.held(now_s)
        ahead = int(expected_per_s * (BATCH_S + ROUND_TRIPS_AHEAD * round_trip_s))
        # Requests that wait now have ended before a usual answer of a slow owner; its tokens are
        # for those that come meanwhile.
        is_slow = round_trip_s > LATE_ANSWER_S
        needed = max(len(self.waiters), ahead) if is_slow else len(self.waiters) + ahead
        tokens = max(0, needed - self.tokens)
        if self.fallback is not None:
            tokens = max(1, tokens)
        usual = expected_per_s * horizon_s
        # Twice the standard deviation of requests that come independently.
        target = int(1 + usual + 2 * sqrt(usual)) if expected_per_s * DEMAND_WINDOW_S > 0.1 else 0
        waiting = 0 if is_slow else min(tokens, len(self.waiters))
        return TokenDemand(workspace, tokens, max(0, target - self.spare), held, waiting)

    def asks_after_s(self) -> float:
        """Return the earliest time of the next request to the owner."""
        return max(self.refused_until_s, self.ask_after_s)

    def needs_call(self, now_s: float, round_trip_s: float) -> bool:
        """Return whether to request tokens at once."""
        if now_s < self.asks_after_s():
            return False
        if self.waiters or self.fallback is not None:
            return True
        expected_per_s = self.demand.at(now_s)
        if now_s < self.refill_after_s or expected_per_s * BATCH_S < 1:
            return False
        return self.held(now_s) <= expected_per_s * max(REFILL_AHEAD_S, round_trip_s)

    def record_grant(
        self,
        demand: TokenDemand,
        grant: TokenGrant,
        asked_s: float,
        now_s: float,
        ttl_s: float = TOKEN_TTL_S,
    ) -> None:
        """Add granted tokens; refuse requests for a while if there were too few.

        The owner counts tokens for waiting requests as unspent for LATE_ANSWER_S only. Those that
        no request waits for any more therefore expire at once, and all of them in a late answer.
        """
        self.fallback = None
        if asked_s <= self.cleared_s:
            return
        self.held(now_s)
        self.record_spent(grant.tokens + grant.spare, now_s)
        self.expires_s = max(self.expires_s, asked_s + ttl_s)
        counted = self.tokens + max(0, grant.tokens - demand.waiting)
        is_late = now_s - asked_s > LATE_ANSWER_S
        self.tokens = counted if is_late else self.tokens + grant.tokens
        self.spare += grant.spare
        while self.waiters and self.take(now_s):
            waiter = self.waiters.popleft()
            waiter.is_admitted = True
            waiter.done.set()
        self.tokens = min(self.tokens, counted)
        # Requests that came after the call may need more than was asked for.
        if grant.wait_ms > 0 and not self.held(now_s):
            self.record_refusal(grant, now_s)
        elif grant.wait_ms > 0:
            pause_s = min(MAX_REFUSAL_S, max(MIN_REFILL_PAUSE_S, grant.wait_ms / 1000))
            self.refill_after_s = now_s + pause_s

    def record_refusal(self, grant: TokenGrant, now_s: float) -> None:
        """Refuse requests until the owner may have more tokens."""
        self.available_s = now_s + grant.wait_ms / 1000
        refusal_s = min(MAX_REFUSAL_S, max(MIN_REFUSAL_S, grant.wait_ms / 1000))
        self.refused_until_s = now_s + refusal_s
        self.release_waiters()

    def release_waiters(self) -> None:
        """End the waiting of all requests without a token."""
        while self.waiters:
            self.waiters.popleft().done.set()

    def record_spent(self, tokens: int, now_s: float) -> None:
        """Count tokens that this VM was granted."""
        self.granted.record(tokens, now_s)
        self.granted_long.record(tokens, now_s)

    def record_failure(self, asked_s: float, now_s: float) -> None:
        """Use the fallback until an owner answers again.

        Args:
            asked_s: When the owner was asked in vain. The fallback collects tokens from then on.
        """
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
