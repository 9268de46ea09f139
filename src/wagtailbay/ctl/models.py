"""Model what a command does and returns."""

from collections.abc import Awaitable, Callable
from typing import Any

from attrs import frozen
from result import Result


@frozen
class Failure:
    """Describe why a command failed, in one line, with its exit status."""

    exit_status: int
    message: str


@frozen
class View:
    """Hold a command's result.

    Attributes:
        value: What ``--output json`` prints.
        text: What ``--output table`` prints.
        exit_status: 0 unless the result itself calls for another one.
    """

    value: Any
    text: str
    exit_status: int = 0


Command = Callable[[Any, Any], Awaitable[Result[View, Failure]]]
"""Takes the client and the parsed arguments."""
