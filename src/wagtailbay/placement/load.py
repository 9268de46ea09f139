"""Believe what a target carries and how well it serves."""

from attrs import define

from wagtailbay.placement.const import (
    EJECT_FAILURE_SHARE,
    EJECT_S,
    FAILURE_WEIGHT,
    LATENCY_MAX_AGE_S,
    LATENCY_WEIGHT,
    MAX_EJECT_S,
    MIN_LATENCIES,
    REPORT_HALF_LIFE_S,
    SENDER_SHARE_FACTOR,
    SHED_HOLD_S,
)
from wagtailbay.placement.models import LoadReport, TargetOutcome

FAILURE_OUTCOMES = (
    TargetOutcome.FAILED,
    TargetOutcome.BROKEN,
    TargetOutcome.UNREACHABLE,
    TargetOutcome.TIMED_OUT,
)


@define
class TargetLoad:
    """Hold this VM's beliefs about one start of a target.

    Attributes:
        own: This VM's requests in flight.
        others: What others had in flight by the last report.
        told: What the other VMs said last that they have in flight; None if they said nothing.
        told_own: This VM's requests in flight when they said it.
        told_phase: Between 0 and 1, drawn anew each time, so that parts of a request add up.
        senders: How many VMs send to it.
        latency_ms: Mean of the latest answers.
        failure_share: Fading share of tries that failed.
        ejections: How often it was ejected in a row.
    """

    own_in_flight: int = 0
    other_in_flight: float = 0.0
    last_report_s: float = float("-inf")
    peer_in_flight: float | None = None
    own_at_peer_update: int = 0
    rounding_offset: float = 0.0
    senders: int = 1
    latency_ms: float = 0.0
    latency_count: int = 0
    last_answer_s: float = float("-inf")
    failure_share: float = 0.0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    shed_until_s: float = float("-inf")

    def load(self, now_s: float) -> float:
        """Return the requests that it is believed to have, running and waiting."""
        age_s = max(0.0, now_s - self.last_report_s)
        weight = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        return (
            self.own_in_flight
            + weight * self.other_in_flight
            + (1 - weight) * (self.peer_in_flight or 0.0)
        )

    def record_peer_in_flight(
        self, peer_in_flight: float, rounding_offset: float, senders: int
    ) -> None:
        """Take in what the other VMs have in flight."""
        self.peer_in_flight, self.own_at_peer_update = peer_in_flight, self.own_in_flight
        self.rounding_offset, self.senders = rounding_offset, max(1, senders)

    def has_capacity(self, capacity: float, now_s: float) -> bool:
        """Tell whether one more request fits.

        All senders see the same room at the same time. Where no report of the target itself is
        fresh, each takes only its part of it, and the place of each own request that has ended.
        """
        if self.load(now_s) >= capacity:
            return False
        if self.peer_in_flight is None or now_s - self.last_report_s < REPORT_HALF_LIFE_S:
            return True
        free_capacity = capacity - self.peer_in_flight - self.own_at_peer_update
        sender_share = min(1.0, SENDER_SHARE_FACTOR / self.senders)
        return (
            self.own_in_flight - self.own_at_peer_update + self.rounding_offset
            < free_capacity * sender_share
        )

    def is_ejected(self, now_s: float) -> bool:
        """Tell whether it gets no work for now, since it failed."""
        return now_s < self.ejected_until_s

    def is_shedding(self, now_s: float) -> bool:
        """Tell whether it turned a request away just now."""
        return now_s < self.shed_until_s

    def recent_latency_ms(self, now_s: float) -> float | None:
        """Return the mean latency if enough answers came lately."""
        recent = now_s - self.last_answer_s < LATENCY_MAX_AGE_S
        return self.latency_ms if recent and self.latency_count >= MIN_LATENCIES else None

    def start(self) -> None:
        """Count a request that is being sent."""
        self.own_in_flight += 1

    def finish(
        self, outcome: TargetOutcome, latency_ms: float, report: LoadReport | None, now_s: float
    ) -> None:
        """Count the end of a request."""
        self.own_in_flight = max(0, self.own_in_flight - 1)
        if report is not None:
            # The report may or may not count the request that it came with.
            self.other_in_flight = max(
                0.0, report.running + report.waiting - 1 - self.own_in_flight
            )
            self.last_report_s = now_s
        if outcome is TargetOutcome.SHED:
            self.shed_until_s = now_s + SHED_HOLD_S
        if outcome in (TargetOutcome.ANSWERED, TargetOutcome.TIMED_OUT):
            self._record_latency(latency_ms, now_s)
        if outcome in FAILURE_OUTCOMES:
            self._record_failure(outcome, now_s)
        elif outcome is TargetOutcome.ANSWERED:
            self.failure_share *= 1 - FAILURE_WEIGHT
            self.ejections = 0

    def _record_latency(self, latency_ms: float, now_s: float) -> None:
        weight = max(LATENCY_WEIGHT, 1 / (self.latency_count + 1))
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self.latency_count += 1
        self.last_answer_s = now_s

    def _record_failure(self, outcome: TargetOutcome, now_s: float) -> None:
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        is_unreachable = outcome is TargetOutcome.UNREACHABLE
        if (is_unreachable or self.failure_share > EJECT_FAILURE_SHARE) and not self.is_ejected(
            now_s
        ):
            self.ejected_until_s = now_s + min(MAX_EJECT_S, EJECT_S * 2**self.ejections)
            self.ejections += 1
            # It is judged anew by what it does after its return.
            self.failure_share = EJECT_FAILURE_SHARE / 2
