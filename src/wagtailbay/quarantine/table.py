"""Count the crashes of each request over the fleet and refuse the guilty ones.

Every request in flight on a crashing target loses its connection. The guilty one is told from its
neighbours by three rules: a complete answer clears a request, suspects run one after another on
each VM, and two requests that crashed just the same targets are held only shortly.
"""

from collections import Counter

from attrs import define, field, frozen

from wagtailbay.membership import FactTable
from wagtailbay.quarantine.const import (
    COUNT_INTERVAL_S,
    CRASH_KIND,
    CRASHES_TO_REFUSE,
    MAX_DESCRIPTION,
    MAX_OWN_SUSPECTS,
    SAME_CRASH_S,
    TERM_S,
    TIE_HOLD_S,
)
from wagtailbay.quarantine.models import CrashCount, Quarantined


@frozen
class FleetCount:
    """Hold what the whole fleet reports of one request."""

    targets: Counter
    description: str
    expires_s: float

    @property
    def crashes(self) -> int:
        """Return the number of crashes."""
        return self.targets.total()


@define
class CrashTable:
    """Hold this VM's crash counts and read those of the others from the facts.

    Attributes:
        latest: When this VM last saw each (fingerprint, target) crash.
        reached: When each request reached the number of crashes that it has now.
        clear_on_answer: For tests only; False blames neighbours for good.
        refuses: For tests only; False refuses no request.
    """

    facts: FactTable
    own: dict[str, CrashCount] = field(factory=dict)
    latest: dict[tuple[str, str], float] = field(factory=dict)
    counts: dict[str, FleetCount] = field(factory=dict)
    reached: dict[str, tuple[int, float]] = field(factory=dict)
    counted_s: float = float("-inf")
    clear_on_answer: bool = True
    refuses: bool = True

    def record_crash(self, fingerprint: str, target: str, description: str, now_s: float) -> None:
        """Count a crash; further copies of the request on the same target count once."""
        self._expire(now_s)
        last_s = self.latest.get((fingerprint, target))
        self.latest[(fingerprint, target)] = now_s
        if last_s is not None and now_s - last_s < SAME_CRASH_S:
            return
        known = self.own.get(fingerprint)
        if known is None and len(self.own) >= MAX_OWN_SUSPECTS:
            return
        targets = (*(known.targets if known else ()), target)
        self._publish(fingerprint, CrashCount(targets, description[:MAX_DESCRIPTION]), now_s)

    def record_answer(self, fingerprint: str, now_s: float) -> None:
        """Clear a request that was answered, since a guilty one never is."""
        if not self.clear_on_answer or fingerprint not in self.own:
            return
        self._publish(fingerprint, CrashCount((), self.own[fingerprint].description), now_s)
        del self.own[fingerprint]

    def _publish(self, fingerprint: str, count: CrashCount, now_s: float) -> None:
        self.own[fingerprint] = count
        ttl_ms = round(TERM_S * 1000)
        self.facts.publish(CRASH_KIND, fingerprint, count, ttl_ms=ttl_ms, now_s=now_s, urgent=True)
        self.counted_s = float("-inf")

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Tell whether a request crashed a target and has not been cleared."""
        self._count(now_s)
        return fingerprint in self.counts

    def is_refused(self, fingerprint: str, now_s: float) -> bool:
        """Tell whether a request must not be sent."""
        return self.refuses and self._left_s(fingerprint, now_s) > 0

    def _left_s(self, fingerprint: str, now_s: float) -> float:
        self._count(now_s)
        count = self.counts.get(fingerprint)
        if count is None or count.crashes < CRASHES_TO_REFUSE:
            return 0.0
        left_s = count.expires_s - now_s
        if not self._is_tied(fingerprint, count):
            return left_s
        return min(left_s, self.reached[fingerprint][1] + TIE_HOLD_S - now_s)

    def _is_tied(self, fingerprint: str, count: FleetCount) -> bool:
        return any(
            other.targets == count.targets
            for name, other in self.counts.items()
            if name != fingerprint
        )

    def quarantined(self, now_s: float) -> tuple[Quarantined, ...]:
        """Return the refused requests."""
        self._count(now_s)
        return tuple(
            Quarantined(fingerprint, count.description, count.crashes, left_s)
            for fingerprint, count in sorted(self.counts.items())
            if (left_s := self._left_s(fingerprint, now_s)) > 0
        )

    def status(self, now_s: float) -> dict:
        """Return the refused requests as JSON values, by fingerprint."""
        return {
            item.fingerprint: {
                "description": item.description,
                "crashes": item.crashes,
                "left_s": round(item.left_s, 1),
            }
            for item in self.quarantined(now_s)
        }

    def _count(self, now_s: float) -> None:
        """Count over the fleet; two VMs that report one target saw the same crashes of it."""
        if now_s - self.counted_s < COUNT_INTERVAL_S:
            return
        self.counted_s = now_s
        counts: dict[str, FleetCount] = {}
        for fact in self.facts.of_kind(CRASH_KIND, now_s):
            if not fact.value.targets:
                continue
            known = counts.get(fact.key)
            targets = Counter(fact.value.targets)
            expires_s = fact.expires_s
            if known is not None:
                targets |= known.targets
                expires_s = max(expires_s, known.expires_s)
            counts[fact.key] = FleetCount(targets, fact.value.description, expires_s)
        self.counts = counts
        self._note_reached(now_s)

    def _note_reached(self, now_s: float) -> None:
        kept = {}
        for fingerprint, count in self.counts.items():
            crashes, since_s = self.reached.get(fingerprint, (0, now_s))
            kept[fingerprint] = (count.crashes, since_s if crashes == count.crashes else now_s)
        self.reached = kept

    def _expire(self, now_s: float) -> None:
        """Forget own counts after the term and times that no longer matter."""
        self.latest = {k: at_s for k, at_s in self.latest.items() if now_s - at_s < TERM_S}
        live = {fingerprint for fingerprint, _ in self.latest}
        self.own = {k: count for k, count in self.own.items() if k in live}
