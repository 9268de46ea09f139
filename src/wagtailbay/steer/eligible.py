"""Cache groups of targets between requests, so that a choice evaluates only the targets drawn."""

import random
from bisect import bisect
from collections.abc import Callable, Sequence
from itertools import accumulate

from attrs import define, frozen

from wagtailbay.config import Target
from wagtailbay.steer.const import MAX_DRAWS, PPM
from wagtailbay.steer.models import Candidate


@frozen(eq=False)
class EligibleTarget:
    """Rarely changing properties of a target that can take requests.

    Attributes:
        slots: Slots, reduced during slow start; above 0.
        weight_ppm: Weight under planned drains; above 0.
    """

    target: Target
    region: str
    slots: float
    weight_ppm: int


Evaluate = Callable[[EligibleTarget], Candidate]


@define(eq=False)
class TargetGroup:
    """Targets from which one is selected by a weighted random draw.

    Attributes:
        cumulative_weights: Running sums of slots x weight over the targets.
        weight_ppm: Highest weight of any target.
    """

    targets: tuple[EligibleTarget, ...]
    cumulative_weights: list[float]
    weight_ppm: int

    def pick_of_two(self, evaluate: Evaluate, rng: random.Random) -> Candidate:
        """Return the less loaded of two random targets.

        Targets are drawn in proportion to slots x weight. If the less loaded one is busy, the
        least loaded target of the whole group is returned.
        """
        first = self._draw(rng)
        if len(self.targets) == 1:
            return evaluate(self.targets[0])
        second = self._draw_other(first, rng)
        better = min(evaluate(self.targets[first]), evaluate(self.targets[second]), key=_score)
        return min(map(evaluate, self.targets), key=_score) if better.busy else better

    def _draw(self, rng: random.Random) -> int:
        point = rng.random() * self.cumulative_weights[-1]
        return min(bisect(self.cumulative_weights, point), len(self.targets) - 1)

    def _draw_other(self, first: int, rng: random.Random) -> int:
        """Draw a different target; after ``MAX_DRAWS`` repeats, return the next in the list."""
        for _ in range(MAX_DRAWS):
            second = self._draw(rng)
            if second != first:
                return second
        return (first + 1) % len(self.targets)


def _score(candidate: Candidate) -> float:
    return candidate.score


def group_targets(targets: Sequence[EligibleTarget]) -> TargetGroup:
    """Build a group with precomputed cumulative weights."""
    running_sums = accumulate(eligible.slots * eligible.weight_ppm for eligible in targets)
    weight_ppm = max((eligible.weight_ppm for eligible in targets), default=PPM)
    return TargetGroup(tuple(targets), list(running_sums), weight_ppm)
