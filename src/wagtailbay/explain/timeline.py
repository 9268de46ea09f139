"""Reconstruct the state of each VM from its log lines, for the lines about one request."""

from collections import Counter, deque
from math import inf

from attrs import define, field

from wagtailbay.explain.const import MAX_RECENT_REQUESTS, RECENT_WINDOW_S
from wagtailbay.explain.models import Configuration, RequestStep, RequestTimeline, VmState
from wagtailbay.logs import parse_line

HEADER_KEYS = ("time", "steady_s", "seq", "event", "program", "vm")
STORE_EVENTS = ("store_reachable", "store_unreachable", "store_history_lost")
LINE_PREFIX = "time="


@define
class VmStateTracker:
    """State of one VM according to its log lines so far.

    Attributes:
        recent_requests: Time, service and outcome of recently finished requests.
        last_target_events: Last event about each target, by target.
    """

    configuration: Configuration | None = None
    store: str = ""
    unreachable_peers: set[str] = field(factory=set)
    evacuated_zones: str = ""
    last_target_events: dict[str, str] = field(factory=dict)
    recent_requests: deque[tuple[float, str, str]] = field(
        factory=lambda: deque(maxlen=MAX_RECENT_REQUESTS)
    )
    lines_dropped: int = 0

    def apply_event(self, vm: str, event: str, time_s: float, values: dict[str, str]) -> None:
        """Update the state from one log line, whether or not it is about the request."""
        if event == "routing_in_force":
            self.configuration = Configuration(int(values.get("version", 0)), vm, time_s)
        elif event in STORE_EVENTS:
            reason = values.get("reason", "")
            self.store = f"{event} at {time_s:.3f}" + (f": {reason}" if reason else "")
        elif event == "peer_unreachable":
            self.unreachable_peers.add(values.get("peer", ""))
        elif event == "peer_reachable":
            self.unreachable_peers.discard(values.get("peer", ""))
        elif event == "evacuation_changed":
            self.evacuated_zones = values.get("zones", "")
        elif event.startswith("target_"):
            detail = values.get("sign") or values.get("reason") or ""
            text = f"{event} at {time_s:.3f}" + (f": {detail}" if detail else "")
            self.last_target_events[values.get("target", "")] = text
        elif event == "request_finished":
            outcome = f"{values.get('outcome', '')} {values.get('status', '')}"
            self.recent_requests.append((time_s, values.get("service", ""), outcome))
        elif event == "log_lines_dropped":
            self.lines_dropped += int(values.get("count", 0))

    def snapshot(self, time_s: float, values: dict[str, str]) -> VmState:
        """Return the VM's state as known when it logged a line about the request."""
        tried = [part.partition(":")[0] for part in values.get("tried", "-").split(",")]
        service = values.get("service", "")
        recent = Counter(
            outcome
            for ended_s, other, outcome in self.recent_requests
            if other == service and 0 <= time_s - ended_s <= RECENT_WINDOW_S
        )
        return VmState(
            self.configuration,
            self.store,
            tuple(sorted(self.unreachable_peers)),
            self.evacuated_zones,
            {
                name: self.last_target_events[name]
                for name in tried
                if name in self.last_target_events
            },
            dict(sorted(recent.items())),
            self.lines_dropped,
        )


@define
class TimelineBuilder:
    """Collects the log lines about one request; each VM's lines must be fed in order."""

    request_id: str
    trackers: dict[str, VmStateTracker] = field(factory=dict)
    steps: list[RequestStep] = field(factory=list)
    configurations: list[Configuration] = field(factory=list)
    unread_lines: int = 0

    def feed(self, text: str) -> None:
        """Process one line; a prefix added by a log collector is ignored."""
        start = max(0, text.find(LINE_PREFIX))
        try:
            values = parse_line(text[start:].strip())
            time_s = float(values.pop("time", inf))
        except ValueError:
            self.unread_lines += 1
            return
        if "event" not in values:
            self.unread_lines += 1
            return
        vm, event = values.get("vm", "-"), values["event"]
        values = {key: value for key, value in values.items() if key not in HEADER_KEYS}
        tracker = self.trackers.setdefault(vm, VmStateTracker())
        if values.get("request_id") == self.request_id:
            state = tracker.snapshot(time_s, values)
            self.steps.append(RequestStep(vm, time_s, event, values, state))
        tracker.apply_event(vm, event, time_s, values)
        if event == "routing_in_force":
            self.configurations.append(tracker.configuration)

    def build(self) -> RequestTimeline:
        """Return the timeline of the request from the lines fed so far."""
        steps = sorted(self.steps, key=lambda step: step.time_s)
        return RequestTimeline(
            self.request_id,
            tuple(steps),
            self._newer_configurations(steps),
            self.unread_lines,
        )

    def _newer_configurations(self, steps: list[RequestStep]) -> tuple[Configuration, ...]:
        """Return when each version unknown to the deciding VM first took effect on any VM."""
        earliest_by_version: dict[int, Configuration] = {}
        for step in steps:
            known_version = step.state.configuration.version if step.state.configuration else 0
            for other in self.configurations:
                if other.version <= known_version or other.time_s > step.time_s:
                    continue
                earliest = earliest_by_version.get(other.version)
                if earliest is None or other.time_s < earliest.time_s:
                    earliest_by_version[other.version] = other
        return tuple(earliest_by_version[version] for version in sorted(earliest_by_version))
