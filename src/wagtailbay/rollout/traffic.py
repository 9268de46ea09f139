"""Divide the requests of a service between its versions."""

import random
from collections.abc import Mapping

from attrs import define, field
from result import Err

from wagtailbay.logs import log_event
from wagtailbay.placement import TargetSign, VersionFilter
from wagtailbay.replica import from_value
from wagtailbay.rollout.const import (
    CANARY_SHARE,
    RAMP_END_FRACTION,
    RAMP_START_FRACTION,
    ROLLOUT_PREFIX,
    START_DELAY_S,
)
from wagtailbay.rollout.judge import RouteCounter
from wagtailbay.rollout.models import RolloutOrder, RolloutPhase
from wagtailbay.store import StoredObject

FAILURE_SIGNS = (TargetSign.FAILED, TargetSign.TIMED_OUT, TargetSign.BROKEN)


@define
class RolloutProgress:
    """Hold this VM's part in one order.

    Attributes:
        order_started_s: When the order was made, as far as any VM has told.
        failure_reason: Why the version is bad, None while it is not known to be.
        old_in_flight: This VM's requests that run on the old version.
        share_credit: Fraction of a request to the new version that has come together.
    """

    order: RolloutOrder
    order_started_s: float
    share_credit: float
    failure_reason: str | None = None
    old_in_flight: int = 0
    counters: dict[str, RouteCounter] = field(factory=dict)

    def age_s(self, now_s: float) -> float:
        """Return how long the order has been known."""
        return now_s - self.order_started_s

    def share(self, now_s: float) -> float:
        """Return the new version's share of requests."""
        if self.order.phase is RolloutPhase.COMPLETE:
            return 1.0
        if self.order.phase is RolloutPhase.ROLLED_BACK or self.failure_reason is not None:
            return 0.0
        age_s, duration_s = self.age_s(now_s), max(1.0, self.order.duration_s)
        if age_s < START_DELAY_S:
            return 0.0
        elapsed_fraction = age_s / duration_s
        if elapsed_fraction < RAMP_START_FRACTION:
            return CANARY_SHARE
        ramp = (elapsed_fraction - RAMP_START_FRACTION) / (RAMP_END_FRACTION - RAMP_START_FRACTION)
        return min(1.0, CANARY_SHARE + ramp * (1 - CANARY_SHARE))


@define
class VersionSplitter:
    """Pick the version of each request and count how versions serve.

    Attributes:
        progress: By service, of the order in force.
        applied_versions: The store's version of each object that was looked at.
    """

    random: random.Random
    progress: dict[str, RolloutProgress] = field(factory=dict)
    applied_versions: dict[str, int] = field(factory=dict)

    def apply_objects(self, objects: Mapping[str, StoredObject], now_s: float) -> None:
        """Take in the replicated orders."""
        for key, stored in objects.items():
            if (
                not key.startswith(ROLLOUT_PREFIX)
                or self.applied_versions.get(key, 0) >= stored.version
            ):
                continue
            self.applied_versions[key] = stored.version
            service = key.removeprefix(ROLLOUT_PREFIX)
            if stored.value is None:
                self._drop_order(service)
                continue
            structured = from_value(stored.value, RolloutOrder)
            if isinstance(structured, Err):
                log_event("rollout_unusable", service=service, reason=structured.err_value)
                continue
            self._apply_order(structured.ok_value, now_s)

    def _apply_order(self, order: RolloutOrder, now_s: float) -> None:
        progress = self.progress.get(order.service)
        if progress is None or progress.order.order_id != order.order_id:
            progress = RolloutProgress(order, now_s, self.random.random())
            self.progress[order.service] = progress
        progress.order = order
        log_event(
            "rollout_known",
            service=order.service,
            version=order.target_version,
            phase=order.phase.value,
            duration_s=order.duration_s,
        )

    def _drop_order(self, service: str) -> None:
        """Forget an order that was removed; a version that was moved to stays the one in use."""
        progress = self.progress.get(service)
        if progress is not None and not progress.order.ended:
            del self.progress[service]

    def pick_version(self, service: str, now_s: float) -> VersionFilter | None:
        """Return the versions that may serve the next request, None for any."""
        progress = self.progress.get(service)
        if progress is None:
            return None
        progress.share_credit += progress.share(now_s)
        wanted = progress.share_credit >= 1.0
        if wanted:
            progress.share_credit -= 1.0
        return VersionFilter(progress.order.target_version, wanted)

    def record_start(self, service: str, version: str) -> None:
        """Count a request that is being sent to a target of a version."""
        progress = self.progress.get(service)
        if progress is not None and version != progress.order.target_version:
            progress.old_in_flight += 1

    def record_finish(
        self, service: str, route: str, version: str, sign: TargetSign, warm: bool, now_s: float
    ) -> None:
        """Count the end of a request.

        Args:
            warm: Whether the target was not cold; cold ones are slow without being bad.
        """
        progress = self.progress.get(service)
        if progress is None:
            return
        is_new = version == progress.order.target_version
        if not is_new:
            progress.old_in_flight = max(0, progress.old_in_flight - 1)
        if progress.order.ended or not warm:
            return
        if sign is TargetSign.ANSWERED or sign in FAILURE_SIGNS:
            counter = progress.counters.setdefault(route, RouteCounter(updated_s=now_s))
            counter.record(is_new, sign in FAILURE_SIGNS, now_s)
