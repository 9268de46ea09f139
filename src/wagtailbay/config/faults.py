"""Model the faults of a document."""

from attrs import frozen

from wagtailbay.config.const import MAX_ERROR_CHARACTERS


@frozen
class DocumentError:
    """Describe one fault; path names the field, for example ``targets[2].slots``."""

    path: str
    message: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f"{self.path}: {self.message}"


def extend_path(path: str, part: str | int) -> str:
    """Append a field name or a list index to a path."""
    if isinstance(part, int):
        return f"{path}[{part}]"
    name = ascii(part)[1:-1][:64]
    return f"{path}.{name}" if path else name


def truncate(message: str) -> str:
    """Limit a message that quotes a value of any length."""
    if len(message) <= MAX_ERROR_CHARACTERS:
        return message
    return message[: MAX_ERROR_CHARACTERS - 3] + "..."
