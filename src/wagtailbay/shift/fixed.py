"""Stand in for moves, the lease and peers where there are none."""

from collections.abc import Callable

from attrs import define, frozen

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


@frozen
class SoleHolder:
    """Perform control duties always; right only where there is a single VM."""

    def is_holder(self, now_s: float) -> bool:
        """Return True."""
        return True


@frozen
class LatestContact:
    """Take the latest of several times, for example of the store and of peers."""

    sources: tuple[Callable[[], float | None], ...]

    def last_contact_s(self) -> float | None:
        """Return the latest time, None if there is none."""
        times = (source() for source in self.sources)
        return max((time_s for time_s in times if time_s is not None), default=None)
