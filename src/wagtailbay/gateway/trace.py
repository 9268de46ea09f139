"""Record of the attempts made for one request."""

from attrs import define, field

from wagtailbay.gateway.models import AttemptResult, BufferedResponse, ResponseEvidence
from wagtailbay.gateway.race import AttemptRace
from wagtailbay.hedging import HedgeOutcome
from wagtailbay.placement import Placement, TargetOutcome
from wagtailbay.refusals import Refusal, outcome_unknown


@define
class RequestTrace:
    """Attempts made for one request, for retry decisions and the request's log line.

    Attributes:
        attempts: Target, placement reason and outcome of each attempt without a delivered
            response, in order.
        responses: What the responses received in these attempts say about the request.
        failures: Why attempts gave no usable response, in order.
        excluded: Targets that must not be selected again.
        may_have_run: Whether any target may have run the request.
        fallback: Error response of a target, delivered if no other target does better.
        last_outcome: Outcome of the last attempt.
        load: Load of the last target when it was selected.
        queued_ms: Time for which the request waited for capacity.
        hedge: What became of a second attempt beside the first, None if there was none.
    """

    attempts: list[str] = field(factory=list)
    responses: list[ResponseEvidence] = field(factory=list)
    failures: list[str] = field(factory=list)
    excluded: frozenset[str] = frozenset()
    may_have_run: bool = False
    fallback: BufferedResponse | None = None
    last_outcome: TargetOutcome | None = None
    load: float = 0.0
    queued_ms: float = 0.0
    hedge: HedgeOutcome | None = None

    def record(self, placement: Placement, result: AttemptResult) -> None:
        """Record an attempt and exclude its target from further attempts."""
        target = placement.target.entry.target
        self.attempts.append(f"{target}:{placement.reason.value}:{result.outcome.value}")
        if result.failure:
            self.failures.append(result.failure)
        self.excluded |= {target}
        self.may_have_run = self.may_have_run or result.may_have_run
        self.fallback = result.fallback or self.fallback
        self.last_outcome = result.outcome
        self.load = placement.load

    def record_race(self, race: AttemptRace) -> None:
        """Record what became of a second attempt, and the attempt that was cancelled."""
        for racer in (race.first, race.second):
            if racer.was_cancelled:
                target = racer.placement.target.entry.target
                reason, outcome = racer.placement.reason, TargetOutcome.GIVEN_UP
                self.attempts.append(f"{target}:{reason.value}:{outcome.value}")
                self.may_have_run = True
        if race.second.was_cancelled:
            self.hedge = HedgeOutcome.CANCELLED
        elif race.winner is race.second:
            self.hedge = HedgeOutcome.WON
        else:
            self.hedge = HedgeOutcome.FAILED

    def unknown_outcome(self) -> Refusal:
        """Return the refusal of a request that a target may have run."""
        if self.last_outcome is TargetOutcome.GIVEN_UP:
            message = "the response waited for earlier ones on the connection"
            return outcome_unknown(504, "response_late", message)
        if self.last_outcome is TargetOutcome.TIMED_OUT:
            return outcome_unknown(504, "target_timeout", "no answer in time")
        return outcome_unknown(502, "target_failed", "the target gave no usable answer")
