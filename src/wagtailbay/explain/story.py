"""Follow log lines and note what a VM believed at each line about one request."""

from collections import Counter, deque
from math import inf

from attrs import define, field

from wagtailbay.explain.const import MAX_RECENT, RECENT_S
from wagtailbay.explain.models import Configuration, RequestStep, RequestStory, VmState
from wagtailbay.logs import parse_line

HEAD_KEYS = ("time", "steady_s", "seq", "event", "program", "vm")
STORE_EVENTS = ("store_reachable", "store_unreachable", "store_history_lost")
FIRST_KEY = "time="


@define
class VmFollower:
    """Hold what one VM's lines have told so far.

    Attributes:
        recent: Time, service and outcome of the requests that ended lately.
        targets: The last event about each target.
    """

    configuration: Configuration | None = None
    store: str = ""
    unreachable_peers: set[str] = field(factory=set)
    evacuated_zones: str = ""
    targets: dict[str, str] = field(factory=dict)
    recent: deque[tuple[float, str, str]] = field(factory=lambda: deque(maxlen=MAX_RECENT))
    lines_dropped: int = 0

    def note(self, vm: str, event: str, time_s: float, values: dict[str, str]) -> None:
        """Take in one line that need not concern the request."""
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
            self.targets[values.get("target", "")] = text
        elif event == "request_finished":
            outcome = f"{values.get('outcome', '')} {values.get('status', '')}"
            self.recent.append((time_s, values.get("service", ""), outcome))
        elif event == "log_lines_dropped":
            self.lines_dropped += int(values.get("count", 0))

    def state(self, time_s: float, values: dict[str, str]) -> VmState:
        """Return what the VM believed at a line about the request."""
        tried = [part.partition(":")[0] for part in values.get("tried", "-").split(",")]
        service = values.get("service", "")
        recent = Counter(
            outcome
            for ended_s, other, outcome in self.recent
            if other == service and 0 <= time_s - ended_s <= RECENT_S
        )
        return VmState(
            self.configuration,
            self.store,
            tuple(sorted(self.unreachable_peers)),
            self.evacuated_zones,
            {name: self.targets[name] for name in tried if name in self.targets},
            dict(sorted(recent.items())),
            self.lines_dropped,
        )


@define
class StoryBuilder:
    """Take log lines of any number of VMs, each VM's in order, and collect those of one request."""

    request_id: str
    vms: dict[str, VmFollower] = field(factory=dict)
    steps: list[RequestStep] = field(factory=list)
    configurations: list[Configuration] = field(factory=list)
    unread_lines: int = 0

    def feed(self, text: str) -> None:
        """Take one line; what a log collector has put before it is passed over."""
        start = max(0, text.find(FIRST_KEY))
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
        values = {key: value for key, value in values.items() if key not in HEAD_KEYS}
        follower = self.vms.setdefault(vm, VmFollower())
        if values.get("request_id") == self.request_id:
            state = follower.state(time_s, values)
            self.steps.append(RequestStep(vm, time_s, event, values, state))
        follower.note(vm, event, time_s, values)
        if event == "routing_in_force":
            self.configurations.append(follower.configuration)

    def story(self) -> RequestStory:
        """Return what the lines so far tell."""
        steps = sorted(self.steps, key=lambda step: step.time_s)
        return RequestStory(
            self.request_id,
            tuple(steps),
            self._newer(steps),
            self.unread_lines,
        )

    def _newer(self, steps: list[RequestStep]) -> tuple[Configuration, ...]:
        """Return the first sight of each version that the deciding VM did not have yet."""
        found: dict[int, Configuration] = {}
        for step in steps:
            known = step.state.configuration.version if step.state.configuration else 0
            for other in self.configurations:
                if other.version <= known or other.time_s > step.time_s:
                    continue
                first = found.get(other.version)
                if first is None or other.time_s < first.time_s:
                    found[other.version] = other
        return tuple(found[version] for version in sorted(found))
