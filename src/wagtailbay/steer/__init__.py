"""Select the target that serves a request."""

from wagtailbay.steer.assembly import build_chooser
from wagtailbay.steer.least_connections import LeastConnectionsChooser
from wagtailbay.steer.models import (
    Assignment,
    AttemptOutcome,
    AttemptReport,
    BudgetSource,
    Chooser,
    TargetQuery,
    WeightSource,
)
from wagtailbay.steer.round_robin import RoundRobinChooser
from wagtailbay.steer.slow_start import SlowStart
from wagtailbay.steer.two_choice import TwoChoiceChooser
from wagtailbay.steer.unlimited import FullWeights, UnlimitedBudgets

__all__ = [
    "Assignment",
    "AttemptOutcome",
    "AttemptReport",
    "BudgetSource",
    "Chooser",
    "FullWeights",
    "LeastConnectionsChooser",
    "RoundRobinChooser",
    "SlowStart",
    "TargetQuery",
    "TwoChoiceChooser",
    "UnlimitedBudgets",
    "WeightSource",
    "build_chooser",
]
