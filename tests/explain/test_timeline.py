"""Test the timeline of a request, built from log lines in the format of VMs."""

from wagtailbay.explain import TimelineBuilder, format_timeline
from wagtailbay.logs import format_line


def log_line(vm: str, time_s: float, event: str, **values: object) -> str:
    """Return a log line in the format of a VM."""
    head = {"time": f"{time_s:.3f}", "steady_s": "1.0", "seq": 1, "event": event}
    return format_line(head | {"program": "wagtailbay-gateway", "vm": vm} | values)


def finished_line(vm: str, time_s: float, request_id: str, **values: object) -> str:
    """Return the log line of a finished request."""
    fields = {"outcome": "answered", "status": 200, "reason": "", "service": "records"}
    fields |= {"tried": "t-1:preferred:answered", "version": 7}
    return log_line(vm, time_s, "request_finished", request_id=request_id, **(fields | values))


def build_timeline(request_id: str, *lines: str):
    """Return the timeline of a request from log lines."""
    builder = TimelineBuilder(request_id)
    for text in lines:
        builder.feed(text)
    return builder.build()


class TestTimelineBuilder:
    """The timeline contains the request's log lines and the state of its VM at each line."""

    def test_newer_configuration_on_another_vm_is_listed(self) -> None:
        """Guards against a 404 after a change whose cause only another VM's log shows."""
        refused = log_line("vm-2", 12.0, "request_refused", request_id="r", code="route_unknown")
        timeline = build_timeline(
            "r",
            log_line("vm-1", 11.0, "routing_in_force", version=8),
            log_line("vm-2", 5.0, "routing_in_force", version=7),
            log_line("vm-2", 11.5, "store_unreachable", reason="no answer"),
            log_line("vm-2", 11.6, "peer_unreachable", peer="vm-1"),
            refused,
            log_line("vm-2", 13.0, "routing_in_force", version=8),
        )
        (step,) = timeline.steps
        assert step.state.configuration.version == 7
        assert step.state.store == "store_unreachable at 11.500: no answer"
        assert step.state.unreachable_peers == ("vm-1",)
        assert [(c.version, c.vm) for c in timeline.newer] == [(8, "vm-1")]

    def test_tried_targets_have_their_last_event(self) -> None:
        """Guards against a 504 without information about the slow target."""
        tried = "t-1:preferred:timed_out"
        values = {"outcome": "refused", "status": 504, "reason": "target_timeout: no answer"}
        timeline = build_timeline(
            "r",
            log_line("vm-1", 4.0, "target_ejected", target="t-1", sign="timed_out"),
            log_line("vm-1", 4.5, "target_ejected", target="t-2", sign="failed"),
            finished_line("vm-1", 4.8, "other"),
            finished_line("vm-1", 5.0, "r", tried=tried, **values),
        )
        state = timeline.steps[0].state
        assert state.targets == {"t-1": "target_ejected at 4.000: timed_out"}
        assert state.recent == {"answered 200": 1}
        text = format_timeline(timeline)
        assert "meaning: a target received the request and did not answer in time" in text
        assert "target t-1: chosen as preferred, outcome timed_out" in text

    def test_prefixes_and_foreign_lines_are_skipped(self) -> None:
        """Guards against failing on a log collector's prefix or a traceback in the log."""
        timeline = build_timeline(
            "r",
            "  3.2 front-1 | " + finished_line("vm-1", 5.0, "r"),
            "Traceback (most recent call last):",
            "event=log_lines_dropped count=3",
        )
        assert len(timeline.steps) == 1
        assert timeline.unread_lines == 1

    def test_recent_requests_are_bounded(self) -> None:
        """Guards against memory use that grows with the length of the log."""
        builder = TimelineBuilder("r")
        for number in range(30_000):
            builder.feed(finished_line("vm-1", number / 1000, f"other-{number}"))
        assert len(builder.trackers["vm-1"].recent_requests) <= 10_000
