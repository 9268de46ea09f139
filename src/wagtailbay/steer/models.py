"""Model the choice of a target and what came of it."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from attrs import frozen
from result import Result

from wagtailbay.config import Route, ServiceDocument, Target
from wagtailbay.refusals import Refusal
from wagtailbay.steer.const import BUSY_UTILIZATION


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

    def untried_targets(self) -> list[Target]:
        """Return the targets that have the version and were not tried, whatever their state."""
        return [
            target
            for target in self.service.targets
            if self.version in (None, target.version) and target.target not in self.excluded
        ]


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


class BudgetSource(Protocol):
    """Hold requests to the capacity of regions and links over the whole fleet."""

    def take_region_budget(
        self,
        service: ServiceDocument,
        region: str,
        now_s: float,
        healthy_fraction: float = 1.0,
    ) -> bool:
        """Take the budget of one request to a region; False if there is none.

        Args:
            healthy_fraction: Usable slots through all slots of the service in the region; the
                effective capacity is the documented one times this.
        """

    def subscribe(
        self, service: ServiceDocument, region: str, now_s: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Call back when budget for a region comes from another VM; returns how to end that."""

    def wait_s(self, service: ServiceDocument, region: str, now_s: float) -> float:
        """Return the time until this VM's own rate has brought the budget of one request."""

    def link_has_capacity(self, from_region: str, to_region: str, now_s: float) -> bool:
        """Tell whether the link that carries responses may take one more."""

    def charge_link(
        self, from_region: str, to_region: str, response_bytes: int, now_s: float
    ) -> None:
        """Charge what a response used of a link; responses go from the target's region."""


class WeightSource(Protocol):
    """Tell how far planned drains have lowered the share of targets."""

    def weight_ppm(self, service: ServiceDocument, target: Target, now_s: float) -> int:
        """Return the weight of a target, 1,000,000 where it is not drained, 0 for no new work."""


@frozen
class Candidate:
    """Hold what counts in the choice of one target.

    Attributes:
        own_in_flight: This VM's requests.
        load: Own requests and reported load.
        slots: Slots, less while the target starts slowly; above 0.
        weight_ppm: Its weight by planned drains, above 0.
        slowness: How many times slower than its service it is, 1 if not clearly slower.
    """

    target: Target
    region: str
    local_in_flight: int
    load: float
    slots: float
    weight_ppm: int
    slowness: float = 1.0

    @property
    def score(self) -> float:
        """Return the load through the slots, with one more request if it is slow."""
        if self.slowness > 1.0:
            return (self.load + 1.0) * self.slowness / self.slots
        return self.load / self.slots

    @property
    def busy(self) -> bool:
        """Tell whether the target seems to have no free slot."""
        return self.local_in_flight >= self.slots or self.load >= BUSY_UTILIZATION * self.slots
