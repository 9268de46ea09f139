"""Log each event as one line of key=value pairs."""

from wagtailbay.logs.events import log_event, start_logging, start_queued_logging
from wagtailbay.logs.lines import format_line, parse_line
from wagtailbay.logs.queue import LineQueue

__all__ = [
    "LineQueue",
    "format_line",
    "log_event",
    "parse_line",
    "start_logging",
    "start_queued_logging",
]
