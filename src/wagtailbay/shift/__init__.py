"""Move traffic between versions and away from what is drained."""

from wagtailbay.membership import register_fact
from wagtailbay.shift.caps import SharedVersionCaps, UncappedVersions
from wagtailbay.shift.const import EVIDENCE_KIND, STOP_KIND
from wagtailbay.shift.controller import ShiftController, build_shift_controller
from wagtailbay.shift.drains import DrainWeights
from wagtailbay.shift.fixed import AnyVersionPicker
from wagtailbay.shift.models import (
    Contact,
    Evidence,
    Lease,
    MovePhase,
    MovePlan,
    MoveState,
    Stop,
    VersionBudget,
    VersionChoice,
    VersionPicker,
)
from wagtailbay.shift.picker import MoveVersionPicker

__all__ = [
    "AnyVersionPicker",
    "Contact",
    "DrainWeights",
    "Evidence",
    "Lease",
    "MovePhase",
    "MovePlan",
    "MoveState",
    "MoveVersionPicker",
    "SharedVersionCaps",
    "ShiftController",
    "Stop",
    "UncappedVersions",
    "VersionBudget",
    "VersionChoice",
    "VersionPicker",
    "build_shift_controller",
]

register_fact(EVIDENCE_KIND, Evidence)
register_fact(STOP_KIND, Stop)
