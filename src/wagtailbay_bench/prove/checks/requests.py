"""Check the outcomes of individual requests: keys, limits, responses and at-most-once runs."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator

from wagtailbay_bench.prove.checks.const import PROPAGATION_BOUND_S
from wagtailbay_bench.prove.checks.windows import DecisionInterval, max_amount_per_window
from wagtailbay_bench.prove.models import History, SentRequest, Violation, Withdrawal

# Longest time between the admission of a request and its run at a target.
MAX_RUN_DELAY_S = 5.0


def check_keys(history: History) -> Iterator[Violation]:
    """Check that a request runs only for its key's workspace and never with a withdrawn key."""
    if "authorization" in history.seen_headers:
        yield Violation("P3", "a target received the Authorization header")
    sent = {request.trace: request for request in history.requests}
    first_withdrawals: dict[str, Withdrawal] = {}
    for withdrawal in history.withdrawals:
        first_withdrawals.setdefault(withdrawal.key_name, withdrawal)
    for run in history.runs:
        request = sent.get(run["trace"])
        if request is None:
            continue
        if run["workspace"] != request.workspace:
            yield Violation("P3", "a request ran for another workspace", (str(run), str(request)))
        withdrawal = first_withdrawals.get(request.key_name)
        if withdrawal is not None and _was_in_force(history, request, withdrawal):
            yield Violation("P3", "a request ran with a withdrawn key", (str(run), str(request)))


def _was_in_force(history: History, request: SentRequest, withdrawal: Withdrawal) -> bool:
    """Return whether the sender's VM had to enforce a withdrawal when a request was sent.

    A VM that reaches a quorum of VMs but has no path to the store need not know a withdrawal that
    is still pending (design.md, 5.6).
    """
    sent_s, in_force_s = request.sent_unix_s, withdrawal.in_force_unix_s
    if sent_s <= withdrawal.accepted_unix_s + PROPAGATION_BOUND_S:
        return False
    if in_force_s is not None and sent_s > in_force_s + PROPAGATION_BOUND_S:
        return True
    return not history.was_isolated_with_quorum(request.vm, sent_s - PROPAGATION_BOUND_S, sent_s)


def check_limits(history: History) -> Iterator[Violation]:
    """Check that no workspace exceeds its rate and burst in any window.

    The runs are checked with the longest delay between admission and run added, and the
    admissions are checked without it.
    """
    yield from _check_admissions(history)
    for workspace, (rate_per_s, burst) in history.workspace_limits.items():
        times = sorted(run["unix_s"] for run in history.runs if run["workspace"] == workspace)
        for first, start_s in enumerate(times):
            for last in (bisect_left(times, start_s + w) - 1 for w in (0.1, 0.5, 1, 2, 5, 10, 60)):
                window_s = times[last] - start_s
                allowed = burst + rate_per_s * (window_s + MAX_RUN_DELAY_S)
                if last - first + 1 > allowed + 1:
                    message = f"{workspace}: {last - first + 1} runs in {window_s:.2f} s"
                    yield Violation("P4", message)
                    return


def _check_admissions(history: History) -> Iterator[Violation]:
    """Check the admission of requests, which falls between sending and the first run."""
    first_run_s: dict[str, float] = {}
    for run in history.runs:
        first_run_s.setdefault(run["trace"], run["unix_s"])
    for workspace, (rate_per_s, burst) in history.workspace_limits.items():
        intervals = [
            DecisionInterval(request.sent_unix_s, first_run_s[request.trace])
            for request in history.requests
            if request.workspace == workspace and request.trace in first_run_s
        ]
        for window_s, count in max_amount_per_window(intervals):
            if count > burst + rate_per_s * window_s + 1:
                yield Violation("P4", f"{workspace}: {count:.0f} requests in {window_s:g} s")


def check_answers(history: History) -> Iterator[Violation]:
    """Check that each successful response belongs to the request that received it."""
    for request in history.requests:
        if request.status != 200:
            continue
        id_field, expected_id = (
            ("idempotency_key", request.idempotency_key)
            if request.idempotency_key
            else ("trace", request.trace)
        )
        # A repeated deposit receives the response of its first run, with that run's trace.
        if request.response_body.get(id_field) != expected_id:
            yield Violation("P6", "received the response to another request", (str(request),))
        elif not request.path.endswith(str(request.response_body.get("path"))):
            yield Violation("P6", "received the response for another path", (str(request),))


def check_refusals(history: History) -> Iterator[Violation]:
    """Check that no request reported as `not_run` ran."""
    run_traces = {run["trace"] for run in history.runs}
    for request in history.requests:
        if request.run_state == "not_run" and request.trace in run_traces:
            yield Violation("P7", "a request ran but was reported as not_run", (str(request),))


def check_at_most_once(history: History) -> Iterator[Violation]:
    """Check that no idempotency key ran twice and that each one reported as successful ran."""
    keys = {r.trace: (r.workspace, r.idempotency_key) for r in history.requests}
    counts = Counter(
        keys[run["trace"]] for run in history.runs if keys.get(run["trace"], ("", ""))[1]
    )
    for (workspace, key), count in counts.items():
        if count > 1:
            yield Violation("P8", f"{workspace}/{key} ran {count} times")
    for request in history.requests:
        workspace_key = (request.workspace, request.idempotency_key)
        if request.idempotency_key and request.status == 200 and not counts[workspace_key]:
            yield Violation(
                "P8", "a deposit was reported as successful but never ran", (str(request),)
            )
