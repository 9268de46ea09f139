"""Choose the target of a request."""

from wagtailbay.steer.models import Assignment, AttemptOutcome, AttemptReport, Chooser, TargetQuery
from wagtailbay.steer.round_robin import RoundRobinChooser

__all__ = [
    "Assignment",
    "AttemptOutcome",
    "AttemptReport",
    "Chooser",
    "RoundRobinChooser",
    "TargetQuery",
]
