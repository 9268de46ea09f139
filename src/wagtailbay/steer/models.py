"""Model the choice of a target and what came of it."""

from enum import Enum
from typing import Protocol

from attrs import frozen
from result import Result

from wagtailbay.config import Route, ServiceDocument, Target
from wagtailbay.refusals import Refusal


@frozen
class TargetQuery:
    """Describe the request that needs a target.

    Attributes:
        version: The version that must serve it, None for any.
        excluded: Targets already tried.
        attempt: 0 for the first try.
        deadline_s: When the answer is due; a chooser may wait for a free target until then.
    """

    service: ServiceDocument
    route: Route
    workspace: str | None
    version: str | None
    excluded: frozenset[str]
    attempt: int
    deadline_s: float


@frozen
class Assignment:
    """Assign a request to a target; spilled if it lies in another region than this VM."""

    target: Target
    region: str
    spilled: bool = False


class AttemptOutcome(Enum):
    """Name what came of one try at a target."""

    ANSWERED = "answered"
    SHED = "shed"
    CONNECT_FAILED = "connect_failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@frozen
class AttemptReport:
    """Report one try; status is None where no head of a response arrived."""

    outcome: AttemptOutcome
    status: int | None
    latency_ms: float
    response_bytes: int = 0

    @property
    def failed(self) -> bool:
        """Tell whether the try counts against the target and its version."""
        if self.outcome in (AttemptOutcome.SHED, AttemptOutcome.CANCELLED):
            return False
        return self.outcome is not AttemptOutcome.ANSWERED or (self.status or 0) >= 500


class Chooser(Protocol):
    """Choose targets and learn from the outcome."""

    async def choose(self, query: TargetQuery, now_s: float) -> Result[Assignment, Refusal]:
        """Choose a target, waiting shortly for a free one where that helps."""

    def finish(
        self, query: TargetQuery, assignment: Assignment, report: AttemptReport, now_s: float
    ) -> None:
        """Record what came of a try; must be called once for each assignment."""
