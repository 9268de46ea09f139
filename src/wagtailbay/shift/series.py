"""Bet against the claim that two versions are alike; betting gains bound the error rate."""

import math
from functools import lru_cache
from math import exp, lgamma, log

from attrs import define, field

from wagtailbay.shift.const import BET_FACTORS, MAX_BLOCK_EVENTS, RESTART_BLOCKS

# Gains beyond this prove the same and would overflow.
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
    """Return what each bet gains on one block, given the hits of both versions together.

    Given that total, the new version's hits follow Fisher's noncentral hypergeometric
    distribution. A bet on an odds ratio of tolerance x bet gains the ratio of likelihoods against
    an odds ratio of tolerance. Its mean is at most 1 for every odds ratio up to tolerance, since
    the ratio grows with the hits and so does their distribution with the odds ratio.
    """
    scale = math.ceil(max(1, new_events, old_events) / MAX_BLOCK_EVENTS)
    if scale > 1:
        # Rounding is in favour of the new version.
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
    """Return what each bet gains on one block against a bound of the rate of hits.

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
    """Multiply the gains of blocks, for a version that is bad from the start or only later.

    Part 1/(j(j+1)) of the stake is put in at the j-th restart, every ten blocks, so losses before
    a change for the worse do not hide it. The capital is a non-negative supermartingale that
    starts at 1; by Ville's inequality it ever reaches 1/a with probability at most a, however
    often it is looked at.
    """

    blocks: int = 0
    reserve: float = 1.0
    stakes: list[float] = field(factory=lambda: [0.0] * len(BET_FACTORS))

    def add(self, gains: tuple[float, ...]) -> None:
        """Take in one block."""
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
        """Return the capital, the mean over the bets."""
        return self.reserve + sum(self.stakes) / len(self.stakes)
