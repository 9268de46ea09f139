"""Memory of refused callers, and the times at which they are asked to come back."""

import random
from collections import OrderedDict
from heapq import heappop, heappush

from attrs import define, field

from wagtailbay.admission.const import (
    EARLY_RETURN_FRACTION,
    MAX_REFUSED_CALLERS,
    MIN_RETRY_AFTER_MS,
    REFUSED_TTL_S,
    RETRY_REMAINING_FRACTION,
)
from wagtailbay.admission.models import Standing


@define
class RefusedCaller:
    """A refused caller.

    Attributes:
        due_s: When it was asked to come back.
        returned: Whether it has come back since.
    """

    refused_s: float
    due_s: float
    returned: bool = False


@define
class RefusedCallers:
    """Remembers refused callers by the fingerprints of their requests, oldest first."""

    callers: OrderedDict[str, RefusedCaller] = field(factory=OrderedDict)

    def record(self, fingerprint: str, due_s: float, now_s: float) -> bool:
        """Remember a refused caller; return False if it is still due from an earlier refusal."""
        known = self.callers.pop(fingerprint, None)
        self.callers[fingerprint] = RefusedCaller(now_s, due_s)
        self._forget(now_s)
        return known is None or known.due_s <= now_s

    def recognize(self, fingerprint: str, now_s: float, *, is_idempotent: bool = False) -> Standing:
        """Return the standing of an arriving request, and note that its caller has returned.

        Args:
            is_idempotent: Whether the request may be repeated. Such requests of different callers,
                for example lookups of one object, have the same fingerprint, so that an early one
                need not be of the caller that was refused.
        """
        caller = self.callers.get(fingerprint)
        if caller is None or caller.returned or now_s - caller.refused_s > REFUSED_TTL_S:
            return Standing.NEW
        earliest_s = caller.refused_s + EARLY_RETURN_FRACTION * (caller.due_s - caller.refused_s)
        is_early = now_s < earliest_s
        if is_early and is_idempotent:
            return Standing.NEW
        caller.returned = True
        return Standing.EARLY if is_early else Standing.RETURNING

    def _forget(self, now_s: float) -> None:
        while self.callers:
            oldest = next(iter(self.callers.values()))
            expired = now_s - oldest.refused_s > REFUSED_TTL_S
            if not expired and len(self.callers) <= MAX_REFUSED_CALLERS:
                return
            self.callers.popitem(last=False)


@define
class RetryPlanner:
    """Spreads the returns of the refused callers of one service.

    Attributes:
        due_s: Heap of the times at which refused callers are asked to come back.
    """

    rng: random.Random
    due_s: list[float] = field(factory=list)

    def retry_after_ms(
        self,
        queue_length: int,
        completions_per_s: float,
        remaining_ms: float,
        default_ms: float,
        now_s: float,
    ) -> float:
        """Return when a refused caller should come back.

        That is after the queue has been served, at a random time while those refused before are.
        If this takes longer than the caller has, it is spread over the time that there is: limited
        to it, all later callers would come back at the same time.

        Args:
            default_ms: The time if the rate of completions is not known.
        """
        while self.due_s and self.due_s[0] <= now_s:
            heappop(self.due_s)
        limit_ms = max(MIN_RETRY_AFTER_MS, RETRY_REMAINING_FRACTION * remaining_ms)
        if completions_per_s <= 0:
            return max(MIN_RETRY_AFTER_MS, min(limit_ms, default_ms))
        queue_ms = max(MIN_RETRY_AFTER_MS, 1000 * queue_length / completions_per_s)
        first_ms = min(queue_ms, limit_ms)
        refused_ms = 1000 * len(self.due_s) / completions_per_s
        return first_ms + self.rng.random() * min(refused_ms, limit_ms - first_ms)

    def record(self, due_s: float) -> None:
        """Record when a refused caller is asked to come back."""
        if len(self.due_s) < MAX_REFUSED_CALLERS:
            heappush(self.due_s, due_s)
