"""Interface of the sources of an entry VM's status."""

from collections.abc import Mapping
from typing import Any, Protocol


class StatusSource(Protocol):
    """Reports the state of one slice as JSON values, which must not contain secret keys."""

    def status(self, now_s: float) -> Mapping[str, Any]:
        """Return the fields of this source."""
