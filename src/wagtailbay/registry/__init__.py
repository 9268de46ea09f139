"""Know the targets that may be used and what they said of themselves."""

from wagtailbay.registry.const import EVACUATION_PREFIX, TARGET_PREFIX
from wagtailbay.registry.models import TargetEntry
from wagtailbay.registry.registry import RegisteredTarget, TargetRegistry

__all__ = [
    "EVACUATION_PREFIX",
    "TARGET_PREFIX",
    "RegisteredTarget",
    "TargetEntry",
    "TargetRegistry",
]
