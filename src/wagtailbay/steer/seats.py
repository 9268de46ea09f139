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
class Seat:
    """Hold what changes rarely about a target that can take requests.

    Attributes:
        slots: Slots, less while the target starts slowly; above 0.
        weight_ppm: Its weight by planned drains, above 0.
    """

    target: Target
    region: str
    slots: float
    weight_ppm: int


Judge = Callable[[Seat], Candidate]


@define(eq=False)
class Group:
    """Hold the seats among which one draw is made.

    Attributes:
        cumulative: Running sums of the seats' chances, which are slots x weight.
        weight_ppm: The highest weight.
    """

    seats: tuple[Seat, ...]
    cumulative: list[float]
    weight_ppm: int

    def pick_of_two(self, judge: Judge, source: random.Random) -> Candidate:
        """Return the one with less load of two random seats.

        They are drawn in proportion to slots and weight. If the better one is busy, the least
        loaded of all is returned.
        """
        first = self._draw(source)
        if len(self.seats) == 1:
            return judge(self.seats[0])
        second = self._draw_other(first, source)
        better = min(judge(self.seats[first]), judge(self.seats[second]), key=_score)
        return min(map(judge, self.seats), key=_score) if better.busy else better

    def _draw(self, source: random.Random) -> int:
        point = source.random() * self.cumulative[-1]
        return min(bisect(self.cumulative, point), len(self.seats) - 1)

    def _draw_other(self, first: int, source: random.Random) -> int:
        """Draw until another seat comes up; a seat of nearly all chances ends that early."""
        for _ in range(MAX_DRAWS):
            second = self._draw(source)
            if second != first:
                return second
        return (first + 1) % len(self.seats)


def _score(candidate: Candidate) -> float:
    return candidate.score


def build_group(seats: Sequence[Seat]) -> Group:
    """Build a group."""
    chances = accumulate(seat.slots * seat.weight_ppm for seat in seats)
    weight_ppm = max((seat.weight_ppm for seat in seats), default=PPM)
    return Group(tuple(seats), list(chances), weight_ppm)
