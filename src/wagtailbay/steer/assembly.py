"""Assemble the chooser."""

import random
from collections.abc import Callable

from wagtailbay.health import OutlierDetector, TargetStates
from wagtailbay.steer.candidates import CandidateFinder
from wagtailbay.steer.models import BudgetSource, WeightSource
from wagtailbay.steer.two_choice import TwoChoiceChooser


def build_chooser(
    availability_zone: str,
    states: TargetStates,
    budgets: BudgetSource,
    weights: WeightSource,
    clock: Callable[[], float],
    rng: random.Random,
) -> TwoChoiceChooser:
    """Build the chooser of one VM; its ``fleet`` follows the fleet document."""
    finder = CandidateFinder(states, OutlierDetector(), weights)
    return TwoChoiceChooser(availability_zone, finder, budgets, clock, rng)
