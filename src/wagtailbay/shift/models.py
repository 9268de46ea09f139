"""Model the choice of a version for a request."""

from typing import Protocol

from attrs import frozen

from wagtailbay.config import Route, ServiceDocument
from wagtailbay.steer import AttemptReport


@frozen
class VersionChoice:
    """Hold the version that must serve a request; None for any."""

    version: str | None


class VersionPicker(Protocol):
    """Pick versions and learn from the outcome."""

    def pick(self, service: ServiceDocument, route: Route, now_s: float) -> VersionChoice:
        """Pick the version for a new request."""

    def record(
        self,
        service: ServiceDocument,
        route: Route,
        version: str,
        report: AttemptReport,
        now_s: float,
    ) -> None:
        """Record how a version served one try."""
