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
        latency_ms: Mean of the latest answers.
        failure_share: Fading share of tries that failed.
        ejections: How often it was ejected in a row.
    """

    own: int = 0
    others: float = 0.0
    reported_s: float = float("-inf")
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
        return self.own + self.others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)

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
