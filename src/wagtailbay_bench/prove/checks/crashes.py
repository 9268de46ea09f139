"""Check requests that crash their targets, and their neighbours."""

from collections.abc import Iterator

from wagtailbay_bench.prove.checks.const import HELD_S, MOST_CRASHES, WITHIN_SECONDS_S
from wagtailbay_bench.prove.models import History, Violation


def check_quarantine(history: History) -> Iterator[Violation]:
    """Check that a request that crashes targets stops soon, and that no other stays refused."""
    sent = {request.trace: request for request in history.requests}
    guilty: dict[str, list[float]] = {}
    crashes = []
    for run in history.runs:
        request = sent.get(run["trace"])
        path = request.path if request else ""
        if path in history.guilty_paths:
            guilty.setdefault(path, []).append(run["unix_s"])
        # Runs without a trace are those of the fault crash-target.
        if path in history.guilty_paths or not run["trace"]:
            crashes.append(run["unix_s"])
    for path, times in guilty.items():
        if len(times) > MOST_CRASHES:
            late_s = sorted(times)[-1] - sorted(times)[1]
            message = f"{path} crashed {len(times)} targets, the last {late_s:.1f} s after two"
            yield Violation("5.9", message)
    for request in history.requests:
        if request.code != "crashes_targets" or request.path in history.guilty_paths:
            continue
        near = [c for c in crashes if c <= request.ended_unix_s]
        if request.sent_unix_s > max(near, default=0.0) + HELD_S + WITHIN_SECONDS_S:
            yield Violation("5.9", "a neighbour stayed refused", (str(request),))
