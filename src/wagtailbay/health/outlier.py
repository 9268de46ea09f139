"""Take targets out of use that requests show to be unfit."""

from attrs import define, field

from wagtailbay.health.const import (
    EJECT_AFTER_CONNECT_FAILURES,
    EJECT_AFTER_SHEDS,
    EJECT_AFTER_TIMEOUTS,
    FIRST_EJECTION_S,
    FORGIVE_AFTER_S,
    MAX_EJECTION_S,
    MAX_SHED_EJECTED,
)
from wagtailbay.health.models import FailureSign

EJECT_AFTER = {
    FailureSign.CONNECT: EJECT_AFTER_CONNECT_FAILURES,
    FailureSign.TIMEOUT: EJECT_AFTER_TIMEOUTS,
    FailureSign.SHED: EJECT_AFTER_SHEDS,
}


@define
class _Record:
    sign: FailureSign | None = None
    count: int = 0
    ejections: int = 0
    until_s: float = 0.0


@define
class OutlierDetector:
    """Eject targets after consecutive failures of one kind, for terms that double.

    The last target of a service is never ejected, and sheds eject at most half of the targets.

    Attributes:
        keep_one: Test-only switch; False lets all targets of a service be ejected.
        changes: The number of ejections so far.
    """

    keep_one: bool = True
    changes: int = 0
    records: dict[str, dict[str, _Record]] = field(factory=dict)

    def ejected(self, service: str, target: str, now_s: float) -> bool:
        """Tell whether a target is out of use."""
        record = self.records.get(service, {}).get(target)
        return record is not None and now_s < record.until_s

    def record_success(self, service: str, target: str) -> None:
        """Record that a target answered."""
        record = self.records.get(service, {}).get(target)
        if record is not None:
            record.sign, record.count = None, 0

    def record_failure(
        self, service: str, target: str, sign: FailureSign, targets: frozenset[str], now_s: float
    ) -> bool:
        """Record a failure; returns whether it ejects the target.

        Args:
            targets: All targets of the service now; others are forgotten.
        """
        records = self.records.setdefault(service, {})
        for name in [name for name in records if name not in targets]:
            del records[name]
        record = records.setdefault(target, _Record())
        record.count = record.count + 1 if record.sign is sign else 1
        record.sign = sign
        if record.count < EJECT_AFTER[sign] or now_s < record.until_s:
            return False
        if not self._may_eject(service, sign, targets, now_s):
            return False
        if now_s > record.until_s + FORGIVE_AFTER_S:
            record.ejections = 0
        term_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections)
        record.until_s = now_s + term_s
        record.ejections = min(record.ejections + 1, 16)
        record.sign, record.count = None, 0
        self.changes += 1
        return True

    def _may_eject(
        self, service: str, sign: FailureSign, targets: frozenset[str], now_s: float
    ) -> bool:
        if not self.keep_one:
            return True
        out = sum(self.ejected(service, target, now_s) for target in targets) + 1
        most = len(targets) - 1
        if sign is FailureSign.SHED:
            most = min(most, int(len(targets) * MAX_SHED_EJECTED))
        return out <= most
