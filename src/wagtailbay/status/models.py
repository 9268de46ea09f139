"""Describe what contributes to the status of an entry VM."""

from collections.abc import Mapping
from typing import Any, Protocol


class StatusSource(Protocol):
    """Tell the state of one slice; the values are JSON values and hold no key."""

    def status(self, now_s: float) -> Mapping[str, Any]:
        """Return the fields of this source."""
