"""Track the entries of targets and the evacuations of availability zones."""

from collections.abc import Mapping

from attrs import define, field
from result import Err

from wagtailbay.logs import log_event
from wagtailbay.registry.const import (
    COLD_MARGIN_S,
    EVACUATION_PREFIX,
    EXPIRED_ENTRY_GRACE_S,
    LEAVING_RETENTION_S,
    OUTAGE_EXPIRY_WINDOW_S,
    TARGET_PREFIX,
)
from wagtailbay.registry.models import TargetEntry
from wagtailbay.replica import from_value
from wagtailbay.requirements import FleetRequirements
from wagtailbay.store import StoredObject, StorePosition


@define(eq=False)
class RegisteredTarget:
    """One run of a target with its entry and its cold-start state.

    Attributes:
        added_s: When this run of the target was first seen.
        cold_until_s: Until when only the rate of a cold target may be sent to it.
        removed_s: When its entry was removed; None while the entry exists.
    """

    entry: TargetEntry
    added_s: float
    cold_until_s: float = float("-inf")
    removed_s: float | None = None

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target still needs a reduced request rate."""
        return now_s < self.cold_until_s


@define
class TargetRegistry:
    """Hold the targets by identity and the evacuated availability zones.

    Attributes:
        applied_versions: Store version of each object that was last processed.
        era: Highest era of the store among these versions.
        last_store_failure_s: When the store last failed to answer this VM, or the VM from which
            this one replicates.
        leaving_since_s: When a run of a target, given by its name and start time, was first known
            to be leaving from its own answers. The store may still list it as ready.
    """

    targets: dict[str, RegisteredTarget] = field(factory=dict)
    evacuated_zones: frozenset[str] = frozenset()
    applied_versions: dict[str, int] = field(factory=dict)
    era: int = 0
    last_store_failure_s: float = float("-inf")
    leaving_since_s: dict[tuple[str, int], float] = field(factory=dict)
    requirements: FleetRequirements = field(factory=FleetRequirements)
    _by_service: dict[str, tuple[RegisteredTarget, ...]] = field(factory=dict)

    def record_store_failure(self, now_s: float) -> None:
        """Record that the store does not answer, since entries may expire meanwhile."""
        self.last_store_failure_s = now_s

    def mark_leaving(self, target: str, born_unix_ms: int, now_s: float) -> None:
        """Send no further requests to a run of a target, whatever its entry says."""
        if (target, born_unix_ms) in self.leaving_since_s:
            return
        self.leaving_since_s[(target, born_unix_ms)] = now_s
        log_event("target_leaving", target=target, born_unix_ms=born_unix_ms)

    def is_leaving(self, entry: TargetEntry) -> bool:
        """Return whether a target is leaving by its entry or by its own answers."""
        return entry.draining or (entry.target, entry.born_unix_ms) in self.leaving_since_s

    def apply(
        self, objects: Mapping[str, StoredObject], cold_ms: Mapping[str, float], now_s: float
    ) -> None:
        """Update the targets and the evacuated zones from the replicated objects.

        Args:
            cold_ms: How long a target stays cold after its start, by service.
        """
        for key, stored in objects.items():
            if (
                not key.startswith(TARGET_PREFIX)
                or self.applied_versions.get(key, 0) >= stored.version
            ):
                continue
            known_version = self.applied_versions.get(key, stored.version)
            is_restored = StorePosition.is_in_later_era(stored.version, known_version)
            self._enter_era(StorePosition.era_of(stored.version), now_s)
            self.applied_versions[key] = stored.version
            self._apply_entry(key.removeprefix(TARGET_PREFIX), stored, is_restored, now_s)
        zones = frozenset(
            key.removeprefix(EVACUATION_PREFIX)
            for key, stored in objects.items()
            if key.startswith(EVACUATION_PREFIX) and stored.value is not None
        )
        if zones != self.evacuated_zones:
            self._apply_evacuations(zones, cold_ms, now_s)
        self._by_service.clear()

    def _enter_era(self, era: int, now_s: float) -> None:
        """Treat the return of the store from an older copy like an outage.

        The entries that the copy lacks are written again if their targets live.
        """
        if era <= self.era:
            return
        if self.applied_versions:
            self.record_store_failure(now_s)
        self.era = era

    def _apply_entry(
        self, name: str, stored: StoredObject, is_restored: bool, now_s: float
    ) -> None:
        known = self.targets.get(name)
        if stored.value is None:
            if known is not None and known.removed_s is None:
                known.removed_s = now_s
                log_event("target_removed", target=name, revision=stored.version)
            return
        structured = from_value(stored.value, TargetEntry)
        if isinstance(structured, Err):
            log_event("target_entry_unusable", target=name, reason=structured.err_value)
            return
        entry = structured.ok_value
        if known is None or known.entry.born_unix_ms != entry.born_unix_ms:
            known = self.targets[name] = RegisteredTarget(entry, now_s)
            log_event("target_added", target=name, service=entry.service, version=entry.version)
        if is_restored and known.entry.draining and not entry.draining:
            # The older copy of the store lacks what this run of the target has said.
            self.mark_leaving(name, entry.born_unix_ms, now_s)
        if entry.draining and not known.entry.draining:
            log_event("target_draining", target=name, revision=stored.version)
        known.entry, known.removed_s = entry, None
        if entry.cold_remaining_ms > 0:
            until_s = now_s + entry.cold_remaining_ms / 1000 + COLD_MARGIN_S
            known.cold_until_s = max(known.cold_until_s, until_s)

    def _apply_evacuations(
        self, zones: frozenset[str], cold_ms: Mapping[str, float], now_s: float
    ) -> None:
        """Set the evacuated zones and mark the targets of returning zones as cold."""
        returned = self.evacuated_zones - zones
        log_event("evacuation_changed", zones=sorted(zones), returned=sorted(returned))
        for known in self.targets.values():
            if known.entry.availability_zone in returned:
                until_s = now_s + cold_ms.get(known.entry.service, 0.0) / 1000
                known.cold_until_s = max(known.cold_until_s, until_s)
        self.evacuated_zones = zones

    def usable(self, service: str, now_s: float) -> list[RegisteredTarget]:
        """Return the targets of a service that accept new requests."""
        known = self._by_service.get(service)
        if known is None:
            found = (t for t in self.targets.values() if t.entry.service == service)
            known = self._by_service[service] = tuple(found)
        return [target for target in known if self._is_usable(target, now_s)]

    def _is_usable(self, target: RegisteredTarget, now_s: float) -> bool:
        entry = target.entry
        if self.is_leaving(entry) or entry.availability_zone in self.evacuated_zones:
            return False
        if target.removed_s is None:
            return True
        # An entry that was removed during a store outage may merely have expired.
        may_have_expired = target.removed_s - self.last_store_failure_s < OUTAGE_EXPIRY_WINDOW_S
        grace_s = min(EXPIRED_ENTRY_GRACE_S, self.requirements.target_drain_ms / 1000)
        return may_have_expired and now_s - target.removed_s < grace_s

    def prune_removed(self, now_s: float) -> None:
        """Delete targets and leaving marks that are no longer needed."""
        self.leaving_since_s = {
            run: since_s
            for run, since_s in self.leaving_since_s.items()
            if now_s - since_s < LEAVING_RETENTION_S
        }
        gone = [
            name
            for name, target in self.targets.items()
            if target.removed_s is not None and now_s - target.removed_s > EXPIRED_ENTRY_GRACE_S
        ]
        for name in gone:
            del self.targets[name]
        if gone:
            self._by_service.clear()
