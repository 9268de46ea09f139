"""Detect targets with consecutive request failures and eject them temporarily."""

from attrs import define, field

from wagtailbay.health.const import (
    CONNECT_FAILURE_THRESHOLD,
    EJECTION_RESET_S,
    INITIAL_EJECTION_S,
    MAX_EJECTION_S,
    MAX_SHED_EJECTION_RATIO,
    SHED_THRESHOLD,
    TIMEOUT_THRESHOLD,
)
from wagtailbay.health.models import FailureReason

FAILURE_THRESHOLDS = {
    FailureReason.CONNECT: CONNECT_FAILURE_THRESHOLD,
    FailureReason.TIMEOUT: TIMEOUT_THRESHOLD,
    FailureReason.SHED: SHED_THRESHOLD,
}


@define
class _FailureRecord:
    reason: FailureReason | None = None
    count: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0


@define
class OutlierDetector:
    """Ejects targets after consecutive failures of one kind, for durations that double.

    The last target of a service is never ejected, and sheds eject at most half of its targets.

    Attributes:
        limit_ejections: Test-only switch; False allows all targets of a service to be ejected.
        ejection_count: Number of ejections so far.
    """

    limit_ejections: bool = True
    ejection_count: int = 0
    records: dict[str, dict[str, _FailureRecord]] = field(factory=dict)

    def is_ejected(self, service: str, target: str, now_s: float) -> bool:
        """Return whether a target is ejected at the given time."""
        record = self.records.get(service, {}).get(target)
        return record is not None and now_s < record.ejected_until_s

    def record_success(self, service: str, target: str) -> None:
        """Reset the failure count of a target after a successful request."""
        record = self.records.get(service, {}).get(target)
        if record is not None:
            record.reason, record.count = None, 0

    def record_failure(
        self,
        service: str,
        target: str,
        reason: FailureReason,
        targets: frozenset[str],
        now_s: float,
    ) -> bool:
        """Record a failure and return whether it ejects the target.

        Args:
            targets: All current targets of the service; records of other targets are removed.
        """
        records = self.records.setdefault(service, {})
        for name in [name for name in records if name not in targets]:
            del records[name]
        record = records.setdefault(target, _FailureRecord())
        record.count = record.count + 1 if record.reason is reason else 1
        record.reason = reason
        if record.count < FAILURE_THRESHOLDS[reason] or now_s < record.ejected_until_s:
            return False
        if not self._can_eject(service, reason, targets, now_s):
            return False
        if now_s > record.ejected_until_s + EJECTION_RESET_S:
            record.ejections = 0
        duration_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**record.ejections)
        record.ejected_until_s = now_s + duration_s
        record.ejections = min(record.ejections + 1, 16)
        record.reason, record.count = None, 0
        self.ejection_count += 1
        return True

    def _can_eject(
        self, service: str, reason: FailureReason, targets: frozenset[str], now_s: float
    ) -> bool:
        if not self.limit_ejections:
            return True
        ejected = sum(self.is_ejected(service, target, now_s) for target in targets) + 1
        max_ejected = len(targets) - 1
        if reason is FailureReason.SHED:
            max_ejected = min(max_ejected, int(len(targets) * MAX_SHED_EJECTION_RATIO))
        return ejected <= max_ejected
