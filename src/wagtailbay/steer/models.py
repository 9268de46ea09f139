"""Data models and interfaces for target selection."""

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
    """Request that needs a target.

    Attributes:
        version: Version that must serve the request, None for any.
        excluded: Names of targets already tried.
        attempt: Attempt number, 0 for the first.
        deadline_s: Deadline of the response; a chooser may wait for a free target until then.
    """

    service: ServiceDocument
    route: Route
    workspace: str | None
    version: str | None
    excluded: frozenset[str]
    attempt: int
    deadline_s: float

    def untried_targets(self) -> list[Target]:
        """Return the targets with the requested version that were not tried, in any state."""
        return [
            target
            for target in self.service.targets
            if self.version in (None, target.version) and target.target not in self.excluded
        ]


@frozen
class Assignment:
    """Assignment of a request to a target; spilled if the target is outside this VM's region."""

    target: Target
    region: str
    spilled: bool = False


class AttemptOutcome(Enum):
    """Outcome of one attempt at a target."""

    ANSWERED = "answered"
    SHED = "shed"
    CONNECT_FAILED = "connect_failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@frozen
class AttemptReport:
    """Report of one attempt; status is None if no response header arrived."""

    outcome: AttemptOutcome
    status: int | None
    latency_ms: float
    response_bytes: int = 0

    @property
    def failed(self) -> bool:
        """Return whether the attempt counts as a failure of the target and its version."""
        if self.outcome in (AttemptOutcome.SHED, AttemptOutcome.CANCELLED):
            return False
        return self.outcome is not AttemptOutcome.ANSWERED or (self.status or 0) >= 500


class Chooser(Protocol):
    """Chooses targets and takes the outcomes of attempts into account."""

    async def choose(self, query: TargetQuery, now_s: float) -> Result[Assignment, Refusal]:
        """Choose a target; may wait briefly for a free one."""

    def finish(
        self, query: TargetQuery, assignment: Assignment, report: AttemptReport, now_s: float
    ) -> None:
        """Record the outcome of an attempt; must be called exactly once per assignment."""


class BudgetSource(Protocol):
    """Limits requests to the fleet-wide capacity of regions and links."""

    def take_region_budget(
        self,
        service: ServiceDocument,
        region: str,
        now_s: float,
        healthy_fraction: float = 1.0,
    ) -> bool:
        """Take budget for one request to a region and return whether any was left.

        Args:
            healthy_fraction: Usable slots divided by all slots of the service in the region; the
                effective capacity is the documented capacity times this fraction.
        """

    def subscribe(
        self, service: ServiceDocument, region: str, now_s: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Call back when another VM transfers budget for a region; returns the unsubscriber."""

    def wait_s(self, service: ServiceDocument, region: str, now_s: float) -> float:
        """Return the time until this VM's own refill rate provides budget for one request."""

    def link_has_capacity(self, from_region: str, to_region: str, now_s: float) -> bool:
        """Return whether the link can carry another response."""

    def charge_link(
        self, from_region: str, to_region: str, response_bytes: int, now_s: float
    ) -> None:
        """Charge the bytes of a response to its link, which starts in the target's region."""


class WeightSource(Protocol):
    """Provides the weights of targets under planned drains."""

    def weight_ppm(self, service: ServiceDocument, target: Target, now_s: float) -> int:
        """Return a target's weight: 1,000,000 if not drained, 0 if it gets no new requests."""


@frozen
class Candidate:
    """Target evaluated for one choice.

    Attributes:
        local_in_flight: This VM's in-flight requests at the target.
        load: This VM's in-flight requests plus the load of other VMs.
        slots: Slots, reduced during slow start; above 0.
        weight_ppm: Weight under planned drains; above 0.
        slowness: Latency relative to the service, 1 if not clearly slower.
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
        """Return the load per slot; for a slow target with one more request, times its slowness."""
        if self.slowness > 1.0:
            return (self.load + 1.0) * self.slowness / self.slots
        return self.load / self.slots

    @property
    def busy(self) -> bool:
        """Return whether the target is estimated to have no free slot."""
        return self.local_in_flight >= self.slots or self.load >= BUSY_UTILIZATION * self.slots
