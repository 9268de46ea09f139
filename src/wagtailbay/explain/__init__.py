"""Tell the story of one request from the log lines of several VMs."""

from wagtailbay.explain.models import Configuration, RequestStep, RequestStory, VmState
from wagtailbay.explain.story import StoryBuilder
from wagtailbay.explain.text import format_story

__all__ = [
    "Configuration",
    "RequestStep",
    "RequestStory",
    "StoryBuilder",
    "VmState",
    "format_story",
]
