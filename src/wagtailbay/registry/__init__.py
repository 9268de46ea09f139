"""Know the targets that may be used and what they said of themselves."""

from wagtailbay.registry.const import EVACUATION_PREFIX, TARGET_PREFIX
from wagtailbay.registry.models import TargetEntry, structure_entry, unstructure_entry
from wagtailbay.registry.registry import KnownTarget, TargetRegistry

__all__ = [
    "EVACUATION_PREFIX",
    "TARGET_PREFIX",
    "KnownTarget",
    "TargetEntry",
    "TargetRegistry",
    "structure_entry",
    "unstructure_entry",
]
