"""Log events through eliot as lines of text."""

import time
from collections.abc import Callable
from itertools import count
from typing import Any, TextIO

from eliot import add_destinations, log_message

from wagtailbay.logs.lines import format_line
from wagtailbay.logs.queue import LineQueue

# Fields that eliot adds for its trees of actions; the log lines have no such trees.
ELIOT_ACTION_FIELDS = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})


def log_event(event: str, **values: Any) -> None:
    """Log one event with its values."""
    log_message(message_type=event, **values)


def start_logging(stream: TextIO, program: str, vm: str = "") -> None:
    """Write all subsequent events to the stream, one line each."""

    def write(event: str, make_line: Callable[[], str]) -> None:
        stream.write(make_line() + "\n")
        stream.flush()

    add_line_destination(write, program, vm)


def start_queued_logging(write: Callable[[bytes], object], program: str, vm: str) -> LineQueue:
    """Queue all subsequent events; the caller must run the returned queue to write them."""

    def report_dropped(event: str, count: int) -> None:
        log_event("log_lines_dropped", dropped_event=event, count=count)

    queue = LineQueue(write, report_dropped)
    add_line_destination(queue.add, program, vm, numbered=True)
    return queue


def add_line_destination(
    emit: Callable[[str, Callable[[], str]], None], program: str, vm: str, numbered: bool = False
) -> Callable[[dict[str, Any]], None]:
    """Add an eliot destination that formats events as lines; return it for its removal.

    Args:
        emit: Receives the name of an event and a function that formats its line.
        numbered: Whether to add a sequence number and a monotonic time, as the wall clock may jump.
    """
    sequence_numbers = count(1)

    def destination(message: dict[str, Any]) -> None:
        event = message.get("message_type", "")

        def make_line() -> str:
            header: dict[str, Any] = {"time": f"{message['timestamp']:.3f}"}
            if numbered:
                header |= {"steady_s": f"{time.monotonic():.3f}", "seq": next(sequence_numbers)}
            header |= {"event": event, "program": program}
            if vm:
                header["vm"] = vm
            values = {k: v for k, v in message.items() if k not in ELIOT_ACTION_FIELDS}
            return format_line(header | values)

        emit(event, make_line)

    add_destinations(destination)
    return destination
