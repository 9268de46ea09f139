"""Betting martingales that test whether a new version is worse than the old one.

They bound the false-positive rate, however often they are checked. An event is a failed or a slow
request.
"""

import math
from functools import lru_cache
from math import exp, lgamma, log

from attrs import define, field

from wagtailbay.shift.const import BET_FACTORS, MAX_BLOCK_EVENTS, RESTART_BLOCKS

# Larger gains add no evidence and would overflow.
MAX_GAIN = 1e200


@lru_cache(maxsize=65_536)
def _log_factorial(n: int) -> float:
    return lgamma(n + 1)


def _log_choose(n: int, k: int) -> float:
    return _log_factorial(n) - _log_factorial(k) - _log_factorial(n - k)


def _log_sum_exp(terms: list[float]) -> float:
    largest = max(terms)
    # Terms below e^-40 of the largest do not change the sum.
    return largest + log(sum([exp(term - largest) for term in terms if term > largest - 40]))


def comparison_gains(
    old_total: int, old_events: int, new_total: int, new_events: int, max_odds_ratio: float
) -> tuple[float, ...]:
    """Return the gain of each bet on one block, given the total events of both versions.

    Given that total, the new version's events follow Fisher's noncentral hypergeometric
    distribution. Each bet is on an odds ratio of ``max_odds_ratio`` x bet. Its gain is the
    likelihood ratio against an odds ratio of ``max_odds_ratio``. The mean gain is at most 1 for
    every odds ratio up to ``max_odds_ratio``, because the likelihood ratio increases with the
    events and their distribution increases with the odds ratio.
    """
    scale = math.ceil(max(1, new_events, old_events) / MAX_BLOCK_EVENTS)
    if scale > 1:
        # Rounds in favour of the new version.
        old_total, new_total = old_total // scale, math.ceil(new_total / scale)
        old_events = min(old_total, math.ceil(old_events / scale))
        new_events = new_events // scale
    events = old_events + new_events
    low, high = max(0, events - old_total), min(new_total, events)
    if low == high:
        return (1.0,) * len(BET_FACTORS)
    base = [
        _log_choose(new_total, k) + _log_choose(old_total, events - k) for k in range(low, high + 1)
    ]

    def log_weight(odds: float) -> float:
        step = log(odds)
        return _log_sum_exp([term + (low + i) * step for i, term in enumerate(base)])

    null_log_weight = log_weight(max_odds_ratio)
    return tuple(
        _bounded_exp(new_events * log(bet) - log_weight(max_odds_ratio * bet) + null_log_weight)
        for bet in BET_FACTORS
    )


def reference_gains(bound: float, total: int, events: int) -> tuple[float, ...]:
    """Return the gain of each bet on one block against an upper bound of the event rate.

    The mean gain is at most 1 for every rate up to the bound.
    """
    gains = []
    for bet in BET_FACTORS:
        scale = 1 - bound + bound * bet
        gains.append(_bounded_exp(events * log(bet) - total * log(scale)))
    return tuple(gains)


def _bounded_exp(value: float) -> float:
    return exp(min(value, log(MAX_GAIN)))


@define
class BettingMartingale:
    """Product of the gains of successive blocks, restarted to detect late faults.

    The j-th restart, one every ``RESTART_BLOCKS`` blocks, stakes 1/(j(j+1)) of the initial capital.
    Losses before a version turns bad therefore do not hide the change. The capital is a
    non-negative supermartingale that starts at 1. By Ville's inequality it ever reaches 1/a with
    probability at most a, however often it is checked.

    Attributes:
        blocks: Number of blocks added.
        reserve: Capital kept for later restarts.
        stakes: Staked capital of each bet.
    """

    blocks: int = 0
    reserve: float = 1.0
    stakes: list[float] = field(factory=lambda: [0.0] * len(BET_FACTORS))

    def add(self, gains: tuple[float, ...]) -> None:
        """Multiply the stakes by the gains of one block."""
        if self.blocks % RESTART_BLOCKS == 0:
            j = self.blocks // RESTART_BLOCKS + 1
            new_stake, self.reserve = 1 / (j * (j + 1)), 1 / (j + 1)
            self.stakes = [stake + new_stake for stake in self.stakes]
        self.blocks += 1
        self.stakes = [
            min(MAX_GAIN, stake * gain) for stake, gain in zip(self.stakes, gains, strict=True)
        ]

    @property
    def capital(self) -> float:
        """Return the reserve plus the mean stake of the bets."""
        return self.reserve + sum(self.stakes) / len(self.stakes)
