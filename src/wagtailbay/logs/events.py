"""Send events to eliot and from there to a text stream."""

from typing import Any, TextIO

from eliot import add_destinations, log_message

from wagtailbay.logs.lines import format_line

# Eliot adds these fields for its own trees of actions, which a flat line does not show.
ELIOT_TREE_FIELDS = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})


def log_event(event: str, **values: Any) -> None:
    """Log one event with its values."""
    log_message(message_type=event, **values)


def start_logging(stream: TextIO, program: str, vm: str = "") -> None:
    """Write all later events to the stream, one line each."""

    def write(message: dict[str, Any]) -> None:
        values = {k: v for k, v in message.items() if k not in ELIOT_TREE_FIELDS}
        head = {"time": f"{message['timestamp']:.3f}", "event": message.get("message_type", "")}
        head["program"] = program
        if vm:
            head["vm"] = vm
        stream.write(format_line(head | values) + "\n")
        stream.flush()

    add_destinations(write)
