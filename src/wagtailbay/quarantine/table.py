"""Count the crashes of each request over the fleet and refuse the crashing ones.

Every request in flight on a crashing target loses its connection. Three rules separate the request
that caused the crash from the bystanders: a complete answer clears a request, suspects run one
after another on each VM, and requests that crashed identical targets are refused only briefly, but
for longer after each further crash.
"""

from collections import Counter
from collections.abc import Mapping
from typing import Self

from attrs import define, field, frozen

from wagtailbay.membership import FactTable
from wagtailbay.quarantine.const import (
    COUNT_INTERVAL_S,
    CRASH_DEDUPLICATION_S,
    CRASH_KIND,
    CRASHES_TO_REFUSE,
    MAX_DESCRIPTION_LENGTH,
    MAX_OWN_SUSPECTS,
    MAX_STORED_REQUESTS,
    QUARANTINE_TERM_S,
    TIED_QUARANTINE_FACTOR,
    TIED_QUARANTINE_S,
)
from wagtailbay.quarantine.models import CrashCount, QuarantinedRequest
from wagtailbay.quarantine.records import CrashRecord


@frozen
class FleetCrashCount:
    """Crashes of one request as reported by all VMs."""

    targets: Counter
    description: str
    expires_s: float

    @property
    def crashes(self) -> int:
        """Return the total number of crashes."""
        return self.targets.total()

    def merge(self, other: Self | None) -> Self:
        """Return the crashes of both reports; those of one target are the same crashes."""
        if other is None:
            return self
        expires_s = max(self.expires_s, other.expires_s)
        return FleetCrashCount(self.targets | other.targets, self.description, expires_s)


@define
class CrashTable:
    """Combines this VM's crash counts with those that other VMs publish and those of the store.

    Attributes:
        own_counts: Crashes seen by this VM, by fingerprint.
        stored_counts: Crashes that the store has, also those seen by VMs that have ended.
        reported: Requests of which a running VM reports crashes.
        cleared: Requests that a VM has cleared, whose stored crashes no longer count.
        last_crash_s: Time of the last crash of each (fingerprint, target) on this VM.
        fleet_counts: Crashes reported by all VMs, by fingerprint.
        crash_count_since: Current number of crashes of each request and when it was reached.
        last_count_s: When the facts were last counted.
        clear_on_answer: For tests only; False keeps bystanders suspect after an answer.
        refusal_enabled: For tests only; False never refuses a request.
    """

    facts: FactTable
    own_counts: dict[str, CrashCount] = field(factory=dict)
    stored_counts: dict[str, FleetCrashCount] = field(factory=dict)
    reported: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    last_crash_s: dict[tuple[str, str], float] = field(factory=dict)
    fleet_counts: dict[str, FleetCrashCount] = field(factory=dict)
    crash_count_since: dict[str, tuple[int, float]] = field(factory=dict)
    last_count_s: float = float("-inf")
    clear_on_answer: bool = True
    refusal_enabled: bool = True

    def record_crash(self, fingerprint: str, target: str, description: str, now_s: float) -> None:
        """Record a crash; concurrent copies of a request on the same target count once."""
        self._expire(now_s)
        last_s = self.last_crash_s.get((fingerprint, target))
        self.last_crash_s[(fingerprint, target)] = now_s
        if last_s is not None and now_s - last_s < CRASH_DEDUPLICATION_S:
            return
        known = self.own_counts.get(fingerprint)
        if known is None and len(self.own_counts) >= MAX_OWN_SUSPECTS:
            return
        earlier = known.targets if known else self._unreported_targets(fingerprint, now_s)
        targets = (*earlier, target)
        self._publish(fingerprint, CrashCount(targets, description[:MAX_DESCRIPTION_LENGTH]), now_s)

    def record_answer(self, fingerprint: str, now_s: float) -> None:
        """Clear an answered request, since a crashing one never gets a complete answer."""
        known = self.own_counts.get(fingerprint) or self._stored_count(fingerprint, now_s)
        if not self.clear_on_answer or known is None:
            return
        self._publish(fingerprint, CrashCount((), known.description), now_s)
        del self.own_counts[fingerprint]

    def _stored_count(self, fingerprint: str, now_s: float) -> FleetCrashCount | None:
        """Return the crashes of a request that the store has, None if they no longer count."""
        if fingerprint not in self.stored_counts:
            return None
        self._refresh_counts(now_s)
        stored = self.stored_counts[fingerprint]
        return None if fingerprint in self.cleared or stored.expires_s <= now_s else stored

    def _unreported_targets(self, fingerprint: str, now_s: float) -> tuple[str, ...]:
        """Return the stored crashes of a request that only VMs of the past have seen."""
        stored = self._stored_count(fingerprint, now_s)
        if stored is None or fingerprint in self.reported:
            return ()
        return tuple(stored.targets.elements())

    def apply_stored(
        self, records: Mapping[str, CrashRecord], now_s: float, now_unix_ms: int
    ) -> None:
        """Replace the crashes that the store has, by fingerprint."""
        self.stored_counts = {
            fingerprint: FleetCrashCount(
                Counter(record.targets),
                record.description,
                now_s + min(QUARANTINE_TERM_S, (record.expires_unix_ms - now_unix_ms) / 1000),
            )
            for fingerprint, record in records.items()
        }
        self.last_count_s = float("-inf")

    def records(self, now_s: float, now_unix_ms: int) -> dict[str, CrashRecord]:
        """Return the crashes that the store should have, by fingerprint."""
        self._refresh_counts(now_s)
        ordered = sorted(
            self.fleet_counts.items(),
            key=lambda item: (item[1].crashes, item[1].expires_s),
            reverse=True,
        )
        return {
            fingerprint: CrashRecord(
                tuple(sorted(count.targets.elements())),
                count.description,
                now_unix_ms + round((count.expires_s - now_s) * 1000),
            )
            for fingerprint, count in ordered[:MAX_STORED_REQUESTS]
        }

    def _publish(self, fingerprint: str, count: CrashCount, now_s: float) -> None:
        self.own_counts[fingerprint] = count
        ttl_ms = round(QUARANTINE_TERM_S * 1000)
        self.facts.publish(CRASH_KIND, fingerprint, count, ttl_ms=ttl_ms, now_s=now_s, urgent=True)
        self.last_count_s = float("-inf")

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request crashed a target and has not been cleared."""
        self._refresh_counts(now_s)
        return fingerprint in self.fleet_counts

    def is_refused(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request is quarantined and must not be sent."""
        return self.refusal_enabled and self._remaining_s(fingerprint, now_s) > 0

    def _remaining_s(self, fingerprint: str, now_s: float) -> float:
        self._refresh_counts(now_s)
        count = self.fleet_counts.get(fingerprint)
        if count is None or count.crashes < CRASHES_TO_REFUSE:
            return 0.0
        left_s = count.expires_s - now_s
        if not self._is_tied(fingerprint, count):
            return left_s
        # Requests that go on crashing the same targets are all guilty, however often they are tied.
        repeated = count.crashes - CRASHES_TO_REFUSE
        tied_s = min(QUARANTINE_TERM_S, TIED_QUARANTINE_S * TIED_QUARANTINE_FACTOR**repeated)
        return min(left_s, self.crash_count_since[fingerprint][1] + tied_s - now_s)

    def _is_tied(self, fingerprint: str, count: FleetCrashCount) -> bool:
        return any(
            other.targets == count.targets
            for name, other in self.fleet_counts.items()
            if name != fingerprint
        )

    def quarantined(self, now_s: float) -> tuple[QuarantinedRequest, ...]:
        """Return all refused requests, ordered by fingerprint."""
        self._refresh_counts(now_s)
        return tuple(
            QuarantinedRequest(fingerprint, count.description, count.crashes, left_s)
            for fingerprint, count in sorted(self.fleet_counts.items())
            if (left_s := self._remaining_s(fingerprint, now_s)) > 0
        )

    def status(self, now_s: float) -> dict:
        """Return the refused requests by fingerprint as JSON-compatible values."""
        return {
            item.fingerprint: {
                "description": item.description,
                "crashes": item.crashes,
                "left_s": round(item.left_s, 1),
            }
            for item in self.quarantined(now_s)
        }

    def _refresh_counts(self, now_s: float) -> None:
        """Count the published crashes; reports of one target by two VMs are the same crashes."""
        if now_s - self.last_count_s < COUNT_INTERVAL_S:
            return
        self.last_count_s = now_s
        fleet_counts: dict[str, FleetCrashCount] = {}
        cleared: set[str] = set()
        for fact in self.facts.of_kind(CRASH_KIND, now_s):
            if not fact.value.targets:
                cleared.add(fact.key)
                continue
            count = FleetCrashCount(
                Counter(fact.value.targets), fact.value.description, fact.expires_s
            )
            fleet_counts[fact.key] = count.merge(fleet_counts.get(fact.key))
        self.reported, self.cleared = frozenset(fleet_counts), frozenset(cleared)
        for fingerprint, stored in self.stored_counts.items():
            if fingerprint not in cleared and stored.expires_s > now_s:
                fleet_counts[fingerprint] = stored.merge(fleet_counts.get(fingerprint))
        self.fleet_counts = fleet_counts
        self._update_count_times(now_s)

    def _update_count_times(self, now_s: float) -> None:
        updated = {}
        for fingerprint, count in self.fleet_counts.items():
            crashes, since_s = self.crash_count_since.get(fingerprint, (0, now_s))
            updated[fingerprint] = (count.crashes, since_s if crashes == count.crashes else now_s)
        self.crash_count_since = updated

    def _expire(self, now_s: float) -> None:
        """Remove own counts and crash times that are older than the quarantine term."""
        self.last_crash_s = {
            k: at_s for k, at_s in self.last_crash_s.items() if now_s - at_s < QUARANTINE_TERM_S
        }
        live = {fingerprint for fingerprint, _ in self.last_crash_s}
        self.own_counts = {k: count for k, count in self.own_counts.items() if k in live}
