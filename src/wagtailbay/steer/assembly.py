"""Build the chooser of a VM from its dependencies."""

import random
from collections.abc import Callable

from wagtailbay.health import OutlierDetector, TargetHealthSource
from wagtailbay.steer.candidates import CandidateFinder
from wagtailbay.steer.models import BudgetSource, WeightSource
from wagtailbay.steer.two_choice import TwoChoiceChooser


def build_chooser(
    availability_zone: str,
    states: TargetHealthSource,
    budgets: BudgetSource,
    weights: WeightSource,
    clock: Callable[[], float],
    rng: random.Random,
) -> TwoChoiceChooser:
    """Build the chooser of one VM; the caller sets ``fleet`` when a fleet document arrives."""
    finder = CandidateFinder(states, OutlierDetector(), weights)
    return TwoChoiceChooser(availability_zone, finder, budgets, clock, rng)
