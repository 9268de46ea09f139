"""Tests of the judge of new versions."""

import random
from collections import Counter

import pytest

from wagtailbay.shift.judge import (
    JudgeState,
    fleet_false_positive_rate,
    judge,
    local_false_positive_rate,
)
from wagtailbay.shift.martingale import BettingMartingale, comparison_gains, reference_gains
from wagtailbay.shift.models import Counts, MovePhase, VersionCounts
from wagtailbay_bench.move_trial import (
    VERSION_BEHAVIOURS,
    FixedCountPolicy,
    JudgePolicy,
    MoveTrial,
    NoRollbackPolicy,
    VersionBehaviour,
)

BEHAVIOURS_BY_NAME = {behaviour.name: behaviour for behaviour in VERSION_BEHAVIOURS}
# Requests per second, number of moves, length and tick in seconds. At the low rate, only long moves
# give enough evidence.
TRAFFIC_LEVELS = ((2.0, 160, 900.0, 20.0), (40.0, 160, 120.0, 5.0), (150.0, 80, 120.0, 5.0))
# At 1%, 4 false rollbacks are expected in 400 good moves. The margin is three standard deviations
# of the binomial distribution: 4 + 3 x sqrt(400 x 0.01 x 0.99) = 9.97.
MAX_FALSE_ROLLBACKS = 9


def good_move_phases(policy: type, level: tuple[float, int, float, float]) -> Counter:
    """Simulate good moves at one traffic level, every other one with trouble in both versions."""
    rate_per_s, moves, length_s, tick_s = level
    phases = Counter()
    for seed in range(moves):
        behaviour = BEHAVIOURS_BY_NAME["good-shared-trouble" if seed % 2 else "good"]
        trial = MoveTrial(behaviour, rate_per_s, random.Random(seed), length_s, tick_s)
        phases[trial.run(policy()).phase] += 1
    return phases


class TestFalseRollbacks:
    """Test that at most 1% of the moves to good versions are rolled back."""

    def test_good_moves_finish(self) -> None:
        """Guards against rollbacks of good versions more often than the bound allows.

        The bound also holds if trouble hits both versions.
        """
        phases = sum((good_move_phases(JudgePolicy, level) for level in TRAFFIC_LEVELS), Counter())
        assert sum(phases.values()) == 400
        assert phases[MovePhase.ROLLED_BACK] <= MAX_FALSE_ROLLBACKS

    def test_fixed_count_exceeds_the_bound(self) -> None:
        """Guards against a check of false rollbacks that any policy passes.

        The check above must fail with a fixed count instead of the sequential test.
        """
        phases = good_move_phases(FixedCountPolicy, (40.0, 30, 120.0, 5.0))
        assert phases[MovePhase.ROLLED_BACK] > MAX_FALSE_ROLLBACKS

    def test_false_positive_rates_sum_to_the_total(self) -> None:
        """Guards against false positive rates that sum to more than 1%.

        The sum is over the rates of all lease holders and VMs.
        """
        fleet = sum(fleet_false_positive_rate(generation) for generation in range(1, 100))
        assert fleet + 11 * local_false_positive_rate(11) <= 0.01 + 1e-12

    def test_martingale_keeps_the_bound(self) -> None:
        """Guards against equal versions that often reach the threshold.

        They would if the mean gain were above 1.
        """
        source = random.Random(5)
        for rate in (0.01, 0.2, 0.6):
            alarms = 0
            for _ in range(100):
                martingale = BettingMartingale()
                for _ in range(60):
                    old = sum(source.random() < rate for _ in range(12))
                    new = sum(source.random() < rate for _ in range(4))
                    martingale.add(comparison_gains(12, old, 4, new, 1.0))
                    alarms += martingale.capital >= 10
                    if martingale.capital >= 10:
                        break
            # Ville's inequality allows 10%; the margin is three standard deviations.
            assert alarms <= 10 + 9


class TestDetection:
    """Test that bad versions are rolled back before they get much traffic."""

    # Maximum seconds for which the version shows its fault, and its maximum part of all requests.
    # The plan lasts 600 s with steps of 102 s; the part is at most what the plan sends by then.
    @pytest.mark.parametrize(
        ("name", "max_bad_s", "max_new_part"),
        [
            ("fails-at-once", 60, 0.02),
            ("fails-later", 30, 0.20),
            ("fails-under-load", 30, 0.20),
            ("fails-on-one-route", 102, 0.04),
            ("slow", 102, 0.04),
        ],
    )
    def test_bad_version_is_rolled_back(
        self, name: str, max_bad_s: float, max_new_part: float
    ) -> None:
        """Guards against any kind of bad version that is not rolled back in time.

        The check fails without a judge.
        """

        def check(policy: type) -> None:
            for rate_per_s in (30.0, 300.0):
                trial = MoveTrial(BEHAVIOURS_BY_NAME[name], rate_per_s, random.Random(3))
                outcome = trial.run(policy())
                assert outcome.phase is MovePhase.ROLLED_BACK
                assert outcome.faulty_s <= max_bad_s
                assert outcome.new_version_share <= max_new_part

        check(JudgePolicy)
        with pytest.raises(AssertionError):
            check(NoRollbackPolicy)

    def test_fault_after_the_last_step_is_detected(self) -> None:
        """Guards against missing a fault that starts in the watch phase."""
        behaviour = VersionBehaviour("late", failure_rate=0.3, faulty_from_s=535.0)
        outcome = MoveTrial(behaviour, 30.0, random.Random(3)).run(JudgePolicy())
        assert outcome.phase is MovePhase.ROLLED_BACK
        assert outcome.faulty_s <= 40

    def test_huge_counts_are_judged_quickly(self) -> None:
        """Guards against a fact with huge counts that blocks the process."""
        judge_state = JudgeState(0.005, 1)
        old, new = Counts(10**6, 10**5), Counts(10**6, 9 * 10**5)
        assert str(judge(judge_state, {"read": VersionCounts(old, new)}, 1.0)) == (
            "the new version fails on read"
        )
        assert comparison_gains(10**6, 10**5, 10**6, 10**5, 1.5)[0] < 1
        assert reference_gains(0.05, 10**6, 0)[0] == 0.0
