"""Errors found while decoding and validating documents."""

from attrs import frozen

from wagtailbay.config.const import MAX_ERROR_CHARACTERS


@frozen
class DocumentError:
    """A validation error; path is the path of the field, for example ``targets[2].slots``."""

    path: str
    message: str

    def __str__(self) -> str:
        """Return the path and the message on one line."""
        return f"{self.path}: {self.message}"


def extend_path(path: str, part: str | int) -> str:
    """Append a field name or a list index to a field path."""
    if isinstance(part, int):
        return f"{path}[{part}]"
    name = ascii(part)[1:-1][:64]
    return f"{path}.{name}" if path else name


def truncate(message: str) -> str:
    """Truncate a message, which may quote an input value of any length."""
    if len(message) <= MAX_ERROR_CHARACTERS:
        return message
    return message[: MAX_ERROR_CHARACTERS - 3] + "..."
