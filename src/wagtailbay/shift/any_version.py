"""Stand in for moves, the lease and peers where there are none."""

from attrs import define

from wagtailbay.config import Route, ServiceDocument
from wagtailbay.shift.models import VersionChoice
from wagtailbay.steer import AttemptReport


@define
class AnyVersionPicker:
    """Let every version serve every request; the baseline without moves."""

    def pick(self, service: ServiceDocument, route: Route, now_s: float) -> VersionChoice:
        """Leave the version open."""
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
