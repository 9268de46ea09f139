"""Hold groups of targets between requests, so that a choice judges only those it draws."""

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
    """Hold what changes rarely about a target that can take requests.

    Attributes:
        slots: Slots, less while the target starts slowly; above 0.
        weight_ppm: Its weight by planned drains, above 0.
    """

    target: Target
    region: str
    slots: float
    weight_ppm: int


Evaluate = Callable[[EligibleTarget], Candidate]


@define(eq=False)
class TargetGroup:
    """Hold the targets among which one draw is made.

    Attributes:
        cumulative: Running sums of the targets' chances, which are slots x weight.
        weight_ppm: The highest weight.
    """

    targets: tuple[EligibleTarget, ...]
    cumulative_weights: list[float]
    weight_ppm: int

    def pick_of_two(self, evaluate: Evaluate, rng: random.Random) -> Candidate:
        """Return the one with less load of two random targets.

        They are drawn in proportion to slots and weight. If the better one is busy, the least
        loaded of all is returned.
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
        """Draw until another target comes up; one with nearly all chances ends that early."""
        for _ in range(MAX_DRAWS):
            second = self._draw(rng)
            if second != first:
                return second
        return (first + 1) % len(self.targets)


def _score(candidate: Candidate) -> float:
    return candidate.score


def group_targets(targets: Sequence[EligibleTarget]) -> TargetGroup:
    """Build a group."""
    running_sums = accumulate(eligible.slots * eligible.weight_ppm for eligible in targets)
    weight_ppm = max((eligible.weight_ppm for eligible in targets), default=PPM)
    return TargetGroup(tuple(targets), list(running_sums), weight_ppm)
