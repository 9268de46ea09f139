"""Declaration of settings as attrs fields."""

from collections.abc import Callable
from typing import Any

from attrs import NOTHING, field, frozen


@frozen
class SettingError:
    """Error in the value of one setting.

    Attributes:
        name: Flag of the setting, for example ``--request-timeout-ms``.
        message: Problem with the value.
    """

    name: str
    message: str

    def __str__(self) -> str:
        """Return the error as one line."""
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
        help_text: Line shown by ``--help``.
        default: Value if neither flag nor variable is set; without it the setting is required.
        parse: Converts the text; raises ValueError for invalid text.
        check: Returns an error message for an invalid value, otherwise None.
    """
    metadata = {"help": help_text, "parse": parse, "check": check}
    return field(default=default, kw_only=True, metadata=metadata)
