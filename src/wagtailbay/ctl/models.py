"""Types of commands and their results."""

from collections.abc import Awaitable, Callable
from typing import Any

from attrs import frozen
from result import Result


@frozen
class Failure:
    """Reason why a command failed, in one line, with the exit status."""

    exit_status: int
    message: str


@frozen
class View:
    """Result of a command.

    Attributes:
        value: JSON value that ``--output json`` prints.
        text: Text that ``--output table`` prints.
        exit_status: Not 0 if the result itself requires it, as for documents that differ.
    """

    value: Any
    text: str
    exit_status: int = 0


Command = Callable[[Any, Any], Awaitable[Result[View, Failure]]]
"""Coroutine function that takes the client and the parsed arguments."""
