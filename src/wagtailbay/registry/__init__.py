"""Registry of targets, their entries and the evacuated availability zones."""

from wagtailbay.registry.const import EVACUATION_PREFIX, TARGET_PREFIX
from wagtailbay.registry.leaving import LeavingTracker
from wagtailbay.registry.models import TargetEntry
from wagtailbay.registry.registry import RegisteredTarget, TargetRegistry

__all__ = [
    "EVACUATION_PREFIX",
    "TARGET_PREFIX",
    "LeavingTracker",
    "RegisteredTarget",
    "TargetEntry",
    "TargetRegistry",
]
