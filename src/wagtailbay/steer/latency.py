"""Detect slow targets by the latency of their responses."""

from attrs import define, field

from wagtailbay.steer.const import (
    LATENCY_EWMA_WEIGHT,
    LATENCY_TTL_S,
    MAX_SLOWNESS,
    MIN_LATENCY_SAMPLES,
    SLOW_THRESHOLD,
)


@define
class _LatencyMean:
    mean_ms: float
    samples: int
    updated_s: float


@define
class LatencyTracker:
    """Compares the mean latency of each target with that of its service, as seen by this VM.

    A target can report that it is idle while it is not, but it cannot misreport its latency.

    Attributes:
        enabled: Test-only switch; False never considers a target slow.
        targets: Mean latency by service and target.
        services: Mean latency by service.
    """

    enabled: bool = True
    targets: dict[tuple[str, str], _LatencyMean] = field(factory=dict)
    services: dict[str, _LatencyMean] = field(factory=dict)

    def record(self, service: str, target: str, latency_ms: float, now_s: float) -> None:
        """Record the latency of a response, or the duration of an attempt that got none."""
        _update_mean(self.targets, (service, target), latency_ms, now_s)
        _update_mean(self.services, service, latency_ms, now_s)

    def slowness(self, service: str, target: str, now_s: float) -> float:
        """Return a target's latency relative to its service, 1 if it is not clearly slower."""
        record, service_mean = self.targets.get((service, target)), self.services.get(service)
        if record is None or service_mean is None or not self.enabled:
            return 1.0
        if record.samples < MIN_LATENCY_SAMPLES or now_s - record.updated_s > LATENCY_TTL_S:
            return 1.0
        ratio = record.mean_ms / max(service_mean.mean_ms, 1e-3)
        return 1.0 if ratio < SLOW_THRESHOLD else min(ratio, MAX_SLOWNESS)

    def prune(self, service: str, targets: frozenset[str]) -> None:
        """Remove targets that a service no longer lists."""
        gone = [key for key in self.targets if key[0] == service and key[1] not in targets]
        for key in gone:
            del self.targets[key]


def _update_mean(records: dict, key: object, latency_ms: float, now_s: float) -> None:
    record = records.get(key)
    if record is None:
        records[key] = _LatencyMean(latency_ms, 1, now_s)
        return
    record.mean_ms += LATENCY_EWMA_WEIGHT * (latency_ms - record.mean_ms)
    record.samples += 1
    record.updated_s = now_s
