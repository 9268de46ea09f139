"""Split the requests of a service between the old and the new version."""

import random
from collections.abc import Mapping

from attrs import define, evolve, field
from result import Err

from wagtailbay.logs import log_event
from wagtailbay.placement import TargetOutcome, VersionFilter
from wagtailbay.replica import from_value
from wagtailbay.requirements import FleetRequirements
from wagtailbay.rollout.const import (
    CANARY_EXPOSURE_FRACTION,
    LOST_ORDER_RETURN_S,
    RAMP_END_FRACTION,
    RAMP_START_FRACTION,
    ROLLOUT_PREFIX,
    START_DELAY_S,
)
from wagtailbay.rollout.failure_detector import RouteCounter
from wagtailbay.rollout.models import RolloutOrder, RolloutPhase
from wagtailbay.store import StoredObject, StorePosition

FAILURE_OUTCOMES = (TargetOutcome.FAILED, TargetOutcome.TIMED_OUT, TargetOutcome.BROKEN)


@define
class RolloutProgress:
    """State of one order on this VM.

    Attributes:
        order_started_s: Earliest time at which any VM is known to have learned of the order.
        canary_share: Share of the new version until the ramp starts.
        share_credit: Accumulated share of the new version, which gets a request when it reaches 1.
        lost_phase: Phase in which the order had ended, if the store came back without it; it has to
            be written again.
        returns_until_s: Until when the order may be written again, if the store came back without
            it; it is the same order then.
        failure_reason: Why the new version is failing, None unless it is.
        old_in_flight: Requests of this VM that are running on the old version.
        counters: Answer counts of each route.
    """

    order: RolloutOrder
    order_started_s: float
    share_credit: float
    canary_share: float
    lost_phase: RolloutPhase | None = None
    returns_until_s: float = float("-inf")
    failure_reason: str | None = None
    old_in_flight: int = 0
    counters: dict[str, RouteCounter] = field(factory=dict)

    def age_s(self, now_s: float) -> float:
        """Return the time since the order was first known to any VM."""
        return now_s - self.order_started_s

    def share(self, now_s: float) -> float:
        """Return the share of requests that goes to the new version."""
        if self.order.phase is RolloutPhase.COMPLETE:
            return 1.0
        if self.order.phase is RolloutPhase.ROLLED_BACK or self.failure_reason is not None:
            return 0.0
        age_s, duration_s = self.age_s(now_s), max(1.0, self.order.duration_s)
        if age_s < START_DELAY_S:
            return 0.0
        elapsed_fraction = age_s / duration_s
        if elapsed_fraction < RAMP_START_FRACTION:
            return self.canary_share
        ramp = (elapsed_fraction - RAMP_START_FRACTION) / (RAMP_END_FRACTION - RAMP_START_FRACTION)
        return min(1.0, self.canary_share + ramp * (1 - self.canary_share))


@define
class VersionSplitter:
    """Chooses the version for each request and counts answers by version.

    Attributes:
        progress: State of the current order of each service.
        applied_versions: Version of each stored object that was last applied.
    """

    random: random.Random
    requirements: FleetRequirements = field(factory=FleetRequirements)
    progress: dict[str, RolloutProgress] = field(factory=dict)
    applied_versions: dict[str, int] = field(factory=dict)

    def apply_objects(self, objects: Mapping[str, StoredObject], now_s: float) -> None:
        """Apply new versions of the replicated orders."""
        self.applied_versions = {
            key: version for key, version in self.applied_versions.items() if key in objects
        }
        for key, stored in objects.items():
            if (
                not key.startswith(ROLLOUT_PREFIX)
                or self.applied_versions.get(key, 0) >= stored.version
            ):
                continue
            known_version = self.applied_versions.get(key, stored.version)
            is_restored = StorePosition.is_in_later_era(stored.version, known_version)
            self.applied_versions[key] = stored.version
            service = key.removeprefix(ROLLOUT_PREFIX)
            if stored.value is None:
                self._drop_order(service, is_restored, now_s)
                continue
            structured = from_value(stored.value, RolloutOrder)
            if isinstance(structured, Err):
                log_event("rollout_unusable", service=service, reason=structured.err_value)
                continue
            self._apply_order(structured.ok_value, is_restored, now_s)

    def _apply_order(self, order: RolloutOrder, is_restored: bool, now_s: float) -> None:
        """Apply an order.

        Args:
            is_restored: Whether the store came back from an older copy since the order was known.
        """
        progress = self.progress.get(order.service)
        is_same = False
        if progress is not None:
            may_be_lost = is_restored or now_s < progress.returns_until_s
            is_same = progress.order.order_id == order.order_id or (
                may_be_lost and progress.order.target_version == order.target_version
            )
            order = self._keep_ended(progress, order, may_be_lost)
        if progress is None or not is_same:
            canary_share = CANARY_EXPOSURE_FRACTION * self.requirements.exposure_share
            progress = RolloutProgress(order, now_s, self.random.random(), canary_share)
            self.progress[order.service] = progress
        progress.order = order
        log_event(
            "rollout_known",
            service=order.service,
            version=order.target_version,
            phase=order.phase.value,
            duration_s=order.duration_s,
        )

    @staticmethod
    def _keep_ended(
        progress: RolloutProgress, order: RolloutOrder, may_be_lost: bool
    ) -> RolloutOrder:
        """Return an order in the phase in which it had ended before the store lost that.

        An order that ran to its end must not run again; its old targets have been stopped.
        """
        known = progress.order
        is_same = known.target_version == order.target_version
        may_be_lost = may_be_lost or progress.lost_phase is not None
        if order.ended or not known.ended or not is_same or not may_be_lost:
            progress.lost_phase = None
            return order
        progress.lost_phase = known.phase
        progress.order = evolve(order, phase=known.phase)
        return progress.order

    def _drop_order(self, service: str, is_restored: bool, now_s: float) -> None:
        """Remove a deleted order unless it has ended, so that its final version stays in use."""
        progress = self.progress.get(service)
        if progress is None:
            return
        if not progress.order.ended:
            del self.progress[service]
        elif is_restored:
            progress.lost_phase, progress.returns_until_s = None, now_s + LOST_ORDER_RETURN_S

    def pick_version(self, service: str, now_s: float) -> VersionFilter | None:
        """Return which version may serve the next request, None for any."""
        progress = self.progress.get(service)
        if progress is None:
            return None
        progress.share_credit += progress.share(now_s)
        wanted = progress.share_credit >= 1.0
        if wanted:
            progress.share_credit -= 1.0
        return VersionFilter(progress.order.target_version, wanted)

    def record_start(self, service: str, version: str) -> None:
        """Record that a request is sent to a target of the given version."""
        progress = self.progress.get(service)
        if progress is not None and version != progress.order.target_version:
            progress.old_in_flight += 1

    def record_finish(
        self,
        service: str,
        route: str,
        version: str,
        outcome: TargetOutcome,
        warm: bool,
        now_s: float,
    ) -> None:
        """Record the end of a request and count its answer.

        Args:
            warm: Whether the target is warm; answers of cold targets are not counted, since they
                are slow even if the version is good.
        """
        progress = self.progress.get(service)
        if progress is None:
            return
        is_new = version == progress.order.target_version
        if not is_new:
            progress.old_in_flight = max(0, progress.old_in_flight - 1)
        if progress.order.ended or not warm:
            return
        if outcome is TargetOutcome.ANSWERED or outcome in FAILURE_OUTCOMES:
            counter = progress.counters.setdefault(route, RouteCounter(updated_s=now_s))
            counter.record(is_new, outcome in FAILURE_OUTCOMES, now_s)
