"""Declare settings as attrs fields."""

from collections.abc import Callable
from typing import Any

from attrs import NOTHING, field, frozen


@frozen
class SettingError:
    """Describe one setting that cannot be used.

    Attributes:
        name: The flag, for example ``--request-timeout-ms``.
        message: What is wrong with its value.
    """

    name: str
    message: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f"{self.name}: {self.message}"


def setting(
    *,
    help_text: str,
    default: Any = NOTHING,
    parse: Callable[[str], Any] = str,
    check: Callable[[Any], str | None] | None = None,
) -> Any:
    """Declare a field of a settings class.

    Args:
        help_text: One line for ``--help``.
        default: The value used when neither flag nor variable is set; required without one.
        parse: Converts the text; raises ValueError for text it cannot convert.
        check: Returns a message for a value out of range, None for a good one.
    """
    metadata = {"help": help_text, "parse": parse, "check": check}
    return field(default=default, kw_only=True, metadata=metadata)
