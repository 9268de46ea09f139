"""Shift traffic between versions of a service and away from drained targets."""

from wagtailbay.membership import register_fact
from wagtailbay.shift.any_version import AnyVersionPicker
from wagtailbay.shift.caps import SharedVersionCaps, UncappedVersions
from wagtailbay.shift.const import EVIDENCE_KIND, STOP_KIND
from wagtailbay.shift.controller import ShiftController, build_shift_controller
from wagtailbay.shift.drains import DrainWeights
from wagtailbay.shift.models import (
    Evidence,
    FleetContact,
    Lease,
    MovePhase,
    MovePlan,
    MoveState,
    Stop,
    VersionCap,
    VersionChoice,
    VersionPicker,
)
from wagtailbay.shift.picker import MoveVersionPicker

__all__ = [
    "AnyVersionPicker",
    "DrainWeights",
    "Evidence",
    "FleetContact",
    "Lease",
    "MovePhase",
    "MovePlan",
    "MoveState",
    "MoveVersionPicker",
    "SharedVersionCaps",
    "ShiftController",
    "Stop",
    "UncappedVersions",
    "VersionCap",
    "VersionChoice",
    "VersionPicker",
    "build_shift_controller",
]

register_fact(EVIDENCE_KIND, Evidence)
register_fact(STOP_KIND, Stop)
