"""Check the quarantine of requests that crash their targets."""

from collections.abc import Iterator

from wagtailbay_bench.prove.checks.const import MAX_CRASHES, PROPAGATION_BOUND_S, QUARANTINE_HOLD_S
from wagtailbay_bench.prove.models import History, Violation


def check_quarantine(history: History) -> Iterator[Violation]:
    """Check that crashing requests are soon refused and that no other request stays refused."""
    sent = {request.trace: request for request in history.requests}
    crash_times_by_path: dict[str, list[float]] = {}
    crash_times = []
    for run in history.runs:
        request = sent.get(run["trace"])
        path = request.path if request else ""
        if path in history.crashing_paths:
            crash_times_by_path.setdefault(path, []).append(run["unix_s"])
        # Requests of the crash-target fault carry no trace.
        if path in history.crashing_paths or not run["trace"]:
            crash_times.append(run["unix_s"])
    for path, times in crash_times_by_path.items():
        if len(times) > MAX_CRASHES:
            delay_s = sorted(times)[-1] - sorted(times)[1]
            message = (
                f"{path} crashed {len(times)} targets, the last {delay_s:.1f} s after the second"
            )
            yield Violation("5.9", message)
    for request in history.requests:
        if request.code != "crashes_targets" or request.path in history.crashing_paths:
            continue
        earlier_crashes = [c for c in crash_times if c <= request.ended_unix_s]
        if (
            request.sent_unix_s
            > max(earlier_crashes, default=0.0) + QUARANTINE_HOLD_S + PROPAGATION_BOUND_S
        ):
            yield Violation(
                "5.9", "a request that crashes no target stayed refused", (str(request),)
            )
