"""Build the timeline of one request from the log lines of several VMs."""

from wagtailbay.explain.models import Configuration, RequestStep, RequestTimeline, VmState
from wagtailbay.explain.text import format_timeline
from wagtailbay.explain.timeline import TimelineBuilder

__all__ = [
    "Configuration",
    "RequestStep",
    "RequestTimeline",
    "TimelineBuilder",
    "VmState",
    "format_timeline",
]
