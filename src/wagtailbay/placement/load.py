"""Believe what a target carries and how well it serves."""

from attrs import define

from wagtailbay.placement.const import (
    EJECT_FAILURE_SHARE,
    EJECT_S,
    FAILURE_WEIGHT,
    LATENCY_TERM_S,
    LATENCY_WEIGHT,
    MAX_EJECT_S,
    MIN_LATENCIES,
    REPORT_HALF_LIFE_S,
    SENDER_PART,
    SHED_HOLD_S,
)
from wagtailbay.placement.models import LoadReport, TargetSign

BAD_SIGNS = (
    TargetSign.FAILED,
    TargetSign.BROKEN,
    TargetSign.UNREACHABLE,
    TargetSign.TIMED_OUT,
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

    own: int = 0
    others: float = 0.0
    reported_s: float = float("-inf")
    told: float | None = None
    told_own: int = 0
    told_phase: float = 0.0
    senders: int = 1
    latency_ms: float = 0.0
    latencies: int = 0
    answered_s: float = float("-inf")
    failure_share: float = 0.0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    shed_until_s: float = float("-inf")

    def load(self, now_s: float) -> float:
        """Return the requests that it is believed to have, running and waiting."""
        age_s = max(0.0, now_s - self.reported_s)
        weight = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        return self.own + weight * self.others + (1 - weight) * (self.told or 0.0)

    def take_in_told(self, told: float, phase: float, senders: int) -> None:
        """Take in what the other VMs have in flight."""
        self.told, self.told_own = told, self.own
        self.told_phase, self.senders = phase, max(1, senders)

    def has_room(self, capacity: float, now_s: float) -> bool:
        """Tell whether one more request fits.

        All senders see the same room at the same time. Where no report of the target itself is
        fresh, each takes only its part of it, and the place of each own request that has ended.
        """
        if self.load(now_s) >= capacity:
            return False
        if self.told is None or now_s - self.reported_s < REPORT_HALF_LIFE_S:
            return True
        room = capacity - self.told - self.told_own
        part = min(1.0, SENDER_PART / self.senders)
        return self.own - self.told_own + self.told_phase < room * part

    def is_ejected(self, now_s: float) -> bool:
        """Tell whether it gets no work for now, since it failed."""
        return now_s < self.ejected_until_s

    def is_shedding(self, now_s: float) -> bool:
        """Tell whether it turned a request away just now."""
        return now_s < self.shed_until_s

    def known_latency_ms(self, now_s: float) -> float | None:
        """Return the mean latency if enough answers came lately."""
        recent = now_s - self.answered_s < LATENCY_TERM_S
        return self.latency_ms if recent and self.latencies >= MIN_LATENCIES else None

    def start(self) -> None:
        """Count a request that is being sent."""
        self.own += 1

    def finish(
        self, sign: TargetSign, latency_ms: float, report: LoadReport | None, now_s: float
    ) -> None:
        """Count the end of a request."""
        self.own = max(0, self.own - 1)
        if report is not None:
            # The report may or may not count the request that it came with.
            self.others = max(0.0, report.running + report.waiting - 1 - self.own)
            self.reported_s = now_s
        if sign is TargetSign.SHED:
            self.shed_until_s = now_s + SHED_HOLD_S
        if sign in (TargetSign.ANSWERED, TargetSign.TIMED_OUT):
            self._note_latency(latency_ms, now_s)
        if sign in BAD_SIGNS:
            self._note_failure(sign, now_s)
        elif sign is TargetSign.ANSWERED:
            self.failure_share *= 1 - FAILURE_WEIGHT
            self.ejections = 0

    def _note_latency(self, latency_ms: float, now_s: float) -> None:
        weight = max(LATENCY_WEIGHT, 1 / (self.latencies + 1))
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self.latencies += 1
        self.answered_s = now_s

    def _note_failure(self, sign: TargetSign, now_s: float) -> None:
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        at_once = sign is TargetSign.UNREACHABLE
        if (at_once or self.failure_share > EJECT_FAILURE_SHARE) and not self.is_ejected(now_s):
            self.ejected_until_s = now_s + min(MAX_EJECT_S, EJECT_S * 2**self.ejections)
            self.ejections += 1
            # It is judged anew by what it does after its return.
            self.failure_share = EJECT_FAILURE_SHARE / 2
