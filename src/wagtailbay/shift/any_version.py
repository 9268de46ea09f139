"""Version picker for setups without moves."""

from attrs import define

from wagtailbay.config import Route, ServiceDocument
from wagtailbay.shift.models import VersionChoice
from wagtailbay.steer import AttemptReport


@define
class AnyVersionPicker:
    """Allow any version for every request; the baseline without moves."""

    def pick(self, service: ServiceDocument, route: Route, now_s: float) -> VersionChoice:
        """Return a choice that allows any version."""
        return VersionChoice(None)

    def record(
        self,
        service: ServiceDocument,
        route: Route,
        version: str,
        report: AttemptReport,
        now_s: float,
    ) -> None:
        """Ignore the outcome."""
