"""Divide the requests of a service between its versions."""

import random
from collections.abc import Mapping

from attrs import define, field
from result import Err

from wagtailbay.logs import log_event
from wagtailbay.placement import TargetOutcome, VersionFilter
from wagtailbay.replica import from_value
from wagtailbay.rollout.const import (
    CANARY_SHARE,
    RAMP_END_PART,
    RAMP_START_PART,
    ROLLOUT_PREFIX,
    START_AFTER_S,
)
from wagtailbay.rollout.judge import RouteTally
from wagtailbay.rollout.models import RolloutOrder, RolloutPhase
from wagtailbay.store import StoredObject

BAD_SIGNS = (TargetOutcome.FAILED, TargetOutcome.TIMED_OUT, TargetOutcome.BROKEN)


@define
class RolloutProgress:
    """Hold this VM's part in one order.

    Attributes:
        known_since_s: When the order was made, as far as any VM has told.
        bad: Why the version is bad, None while it is not known to be.
        old_in_flight: This VM's requests that run on the old version.
        credit: Fraction of a request to the new version that has come together.
    """

    order: RolloutOrder
    known_since_s: float
    credit: float
    bad: str | None = None
    old_in_flight: int = 0
    tallies: dict[str, RouteTally] = field(factory=dict)

    def age_s(self, now_s: float) -> float:
        """Return how long the order has been known."""
        return now_s - self.known_since_s

    def share(self, now_s: float) -> float:
        """Return the new version's share of requests."""
        if self.order.phase is RolloutPhase.COMPLETE:
            return 1.0
        if self.order.phase is RolloutPhase.ROLLED_BACK or self.bad is not None:
            return 0.0
        age_s, duration_s = self.age_s(now_s), max(1.0, self.order.duration_s)
        if age_s < START_AFTER_S:
            return 0.0
        part = age_s / duration_s
        if part < RAMP_START_PART:
            return CANARY_SHARE
        ramp = (part - RAMP_START_PART) / (RAMP_END_PART - RAMP_START_PART)
        return min(1.0, CANARY_SHARE + ramp * (1 - CANARY_SHARE))


@define
class RolloutTraffic:
    """Pick the version of each request and count how versions serve.

    Attributes:
        progress: By service, of the order in force.
        taken: The store's version of each object that was looked at.
    """

    random: random.Random
    progress: dict[str, RolloutProgress] = field(factory=dict)
    taken: dict[str, int] = field(factory=dict)

    def take_in(self, objects: Mapping[str, StoredObject], now_s: float) -> None:
        """Take in the replicated orders."""
        for key, stored in objects.items():
            if not key.startswith(ROLLOUT_PREFIX) or self.taken.get(key, 0) >= stored.version:
                continue
            self.taken[key] = stored.version
            service = key.removeprefix(ROLLOUT_PREFIX)
            if stored.value is None:
                self._end(service)
                continue
            structured = from_value(stored.value, RolloutOrder)
            if isinstance(structured, Err):
                log_event("rollout_unusable", service=service, reason=structured.err_value)
                continue
            self._take_order(structured.ok_value, now_s)

    def _take_order(self, order: RolloutOrder, now_s: float) -> None:
        known = self.progress.get(order.service)
        if known is None or known.order.order_id != order.order_id:
            known = RolloutProgress(order, now_s, self.random.random())
            self.progress[order.service] = known
        known.order = order
        log_event(
            "rollout_known",
            service=order.service,
            version=order.target_version,
            phase=order.phase.value,
            duration_s=order.duration_s,
        )

    def _end(self, service: str) -> None:
        """Forget an order that was removed; a version that was moved to stays the one in use."""
        known = self.progress.get(service)
        if known is not None and not known.order.ended:
            del self.progress[service]

    def pick(self, service: str, now_s: float) -> VersionFilter | None:
        """Return the versions that may serve the next request, None for any."""
        known = self.progress.get(service)
        if known is None:
            return None
        known.credit += known.share(now_s)
        wanted = known.credit >= 1.0
        if wanted:
            known.credit -= 1.0
        return VersionFilter(known.order.target_version, wanted)

    def start(self, service: str, version: str) -> None:
        """Count a request that is being sent to a target of a version."""
        known = self.progress.get(service)
        if known is not None and version != known.order.target_version:
            known.old_in_flight += 1

    def finish(
        self, service: str, route: str, version: str, sign: TargetOutcome, warm: bool, now_s: float
    ) -> None:
        """Count the end of a request.

        Args:
            warm: Whether the target was not cold; cold ones are slow without being bad.
        """
        known = self.progress.get(service)
        if known is None:
            return
        is_new = version == known.order.target_version
        if not is_new:
            known.old_in_flight = max(0, known.old_in_flight - 1)
        if known.order.ended or not warm:
            return
        if sign is TargetOutcome.ANSWERED or sign in BAD_SIGNS:
            tally = known.tallies.setdefault(route, RouteTally(updated_s=now_s))
            tally.record(is_new, sign in BAD_SIGNS, now_s)
