"""Registry of the moves that must stop because the new version is bad."""

from attrs import define, field

from wagtailbay.logs import log_event
from wagtailbay.membership import FactTable
from wagtailbay.shift.const import STOP_INDEX_INTERVAL_S, STOP_KIND, STOP_TTL_MS
from wagtailbay.shift.models import Stop


@define
class StopRegistry:
    """Remember all stops received, and publish and renew those of this VM.

    Attributes:
        enforced: Test-only switch; if False, all stops are ignored, including this VM's own.
    """

    facts: FactTable
    enforced: bool = True
    known: dict[str, Stop] = field(factory=dict)
    own: dict[str, tuple[Stop, float]] = field(factory=dict)
    last_read_s: float | None = None

    def find(self, move: str, now_s: float) -> Stop | None:
        """Return the stop of a move, None if there is none."""
        if not self.enforced:
            return None
        if move not in self.known:
            self._read_facts(now_s)
        return self.known.get(move)

    def _read_facts(self, now_s: float) -> None:
        if self.last_read_s is not None and 0 <= now_s - self.last_read_s < STOP_INDEX_INTERVAL_S:
            return
        self.last_read_s = now_s
        for fact in self.facts.of_kind(STOP_KIND, now_s):
            if isinstance(fact.value, Stop) and isinstance(fact.value.move, str):
                self.known.setdefault(fact.value.move, fact.value)

    def report(self, stop: Stop, now_s: float) -> None:
        """Stop a move on this VM at once and publish the stop to all VMs."""
        if stop.move in self.own:
            return
        self.known[stop.move] = stop
        log_event("move_stopped", service=stop.service, version=stop.version, reason=stop.reason)
        self._publish(stop, now_s, urgent=True)

    def refresh(self, active_moves: set[str], now_s: float) -> None:
        """Renew this VM's stops before they expire, and drop those of inactive moves."""
        for move, (stop, published_s) in tuple(self.own.items()):
            if move not in active_moves:
                del self.own[move]
            elif now_s - published_s >= STOP_TTL_MS / 2000:
                self._publish(stop, now_s, urgent=False)

    def _publish(self, stop: Stop, now_s: float, urgent: bool) -> None:
        key = f"{stop.service}/{stop.move}"
        self.facts.publish(STOP_KIND, key, stop, ttl_ms=STOP_TTL_MS, now_s=now_s, urgent=urgent)
        self.own[stop.move] = (stop, now_s)
