"""Increase the share of a recovered or new target gradually."""

from attrs import define, field

from wagtailbay.steer.const import SLOW_START_INITIAL_FACTOR, SLOW_START_STEP_PER_S


@define
class SlowStart:
    """Tracks since when each target has been usable.

    Targets that are usable when a service is first observed count as warm. Targets that recover or
    are added later start with 10% of their share and gain 10 percentage points per second.

    Attributes:
        enabled: Test-only switch; False gives a recovered target its full share immediately.
        usable_since_s: Start of usability by service and target, None if not usable.
    """

    enabled: bool = True
    usable_since_s: dict[str, dict[str, float | None]] = field(factory=dict)

    def observe(self, service: str, usable: dict[str, bool], now_s: float) -> None:
        """Record which of a service's targets are usable now."""
        since_by_target = self.usable_since_s.get(service)
        since: dict[str, float | None] = {}
        for target, is_usable in usable.items():
            if not is_usable:
                since[target] = None
            elif since_by_target is None:
                since[target] = float("-inf")
            else:
                previous_s = since_by_target.get(target)
                since[target] = now_s if previous_s is None else previous_s
        self.usable_since_s[service] = since

    def factor(self, service: str, target: str, now_s: float) -> float:
        """Return the fraction of its share that a usable target gets, from 0.1 to 1."""
        since_s = self.usable_since_s.get(service, {}).get(target)
        if since_s is None or not self.enabled:
            return 1.0
        return min(
            1.0, SLOW_START_INITIAL_FACTOR + SLOW_START_STEP_PER_S * max(0.0, now_s - since_s)
        )

    def is_ramping(self, service: str, now_s: float) -> bool:
        """Return whether any usable target of a service is still in slow start."""
        since_by_target = self.usable_since_s.get(service, {})
        return any(
            s is not None and self.factor(service, t, now_s) < 1.0
            for t, s in since_by_target.items()
        )
