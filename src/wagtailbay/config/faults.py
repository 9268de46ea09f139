"""Model the faults of a document."""

from attrs import frozen


@frozen
class DocumentFault:
    """Describe one fault; path names the field, for example ``targets[2].slots``."""

    path: str
    message: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f"{self.path}: {self.message}"
