"""Check the traffic share, the rate and the rollback of a new version during a move."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Sequence
from itertools import accumulate

from wagtailbay_bench.prove.checks.const import (
    BAD_RESPONSES_TO_DETECT,
    COLD_CACHE_RESPONSES_PER_VM,
    MAX_BAD_RESPONSE_SHARE,
    PPM,
    PROPAGATION_BOUND_S,
    SLOW_RESPONSE_S,
)
from wagtailbay_bench.prove.checks.windows import DecisionInterval, max_amount_per_window
from wagtailbay_bench.prove.models import History, ObservedStep, PlannedMove, SentRequest, Violation


def check_shift_cap(history: History) -> Iterator[Violation]:
    """Check that a new version's steps, traffic share and rate stay within the move's plan."""
    move = history.move
    if move is None:
        return
    steps = sorted(history.observed_steps, key=lambda step: step.step_unix_s)
    yield from _check_step_sizes(move, steps)
    requests = sorted(_service_requests(history, move), key=lambda request: request.sent_unix_s)
    new_version_runs = _new_version_runs(history, move)
    yield from _check_shares(history, requests, new_version_runs, steps)
    if move.cap_per_s is None:
        return
    sent = {request.trace: request.sent_unix_s for request in requests}
    intervals = [
        DecisionInterval(sent[run["trace"]], run["unix_s"])
        for run in new_version_runs
        if run["trace"] in sent
    ]
    for window_s, count in max_amount_per_window(intervals):
        # Each VM may have accumulated the allowance for one request.
        if count > move.cap_per_s * window_s + history.max_vms:
            message = f"{count} requests in {window_s:g} s exceed the cap of {move.cap_per_s:g}/s"
            yield Violation("P1", message)


def _check_step_sizes(move: PlannedMove, steps: Sequence[ObservedStep]) -> Iterator[Violation]:
    share_ppm = 0
    for step in steps:
        if step.share_ppm - share_ppm > move.max_step_ppm:
            yield Violation(
                "P1", f"a step raised the share from {share_ppm} to {step.share_ppm} ppm"
            )
        share_ppm = step.share_ppm


def _check_shares(
    history: History,
    requests: Sequence[SentRequest],
    new_version_runs: Sequence[dict],
    steps: Sequence[ObservedStep],
) -> Iterator[Violation]:
    """Check the new version's share of all requests from the start and from each step on.

    Each request adds the highest share written before it ended to the allowance. From a step on,
    each VM may also have accumulated one request per route, and each request in flight at the
    step raises the allowance by one.
    """
    sent_s = [request.sent_unix_s for request in requests]
    shares = [_max_share_ppm(steps, request.ended_unix_s) / PPM for request in requests]
    cumulative_shares = [0.0, *accumulate(shares)]
    sent_by_trace = {request.trace: request.sent_unix_s for request in requests}
    new_version_run_times = sorted(
        (run["unix_s"], sent_by_trace.get(run["trace"], run["unix_s"])) for run in new_version_runs
    )
    allowance_by_start = {float("-inf"): 0}
    for step in steps:
        in_flight = sum(r.sent_unix_s < step.step_unix_s < r.ended_unix_s for r in requests)
        accrued = len(history.vm_regions) * history.move.route_count
        allowance_by_start[step.step_unix_s] = accrued + in_flight
    for start_s, base_allowance in allowance_by_start.items():
        shares_before = cumulative_shares[bisect_left(sent_s, start_s)]
        count = 0
        for run_s, run_sent_s in new_version_run_times:
            if run_sent_s < start_s:
                continue
            count += 1
            allowance = (
                cumulative_shares[bisect_right(sent_s, run_s)] - shares_before + base_allowance
            )
            if count > allowance + 1e-6:
                message = f"{count} requests ran on the new version, {allowance:.1f} allowed"
                yield Violation("P1", message, (f"from {start_s:.2f} to {run_s:.2f}",))
                break


def _max_share_ppm(steps: Sequence[ObservedStep], until_s: float) -> int:
    """Return the highest share written up to `until_s`."""
    return max((s.share_ppm for s in steps if s.step_unix_s <= until_s), default=0)


def check_bad_versions(history: History) -> Iterator[Violation]:
    """Check that a bad version is rolled back in time and that a good one finishes.

    Until a bad version is detectable it may cause only a small share of bad responses; later
    than the bound after that it must receive no requests.
    """
    move = history.move
    if move is None:
        return
    if not move.is_bad:
        yield from _check_good_version(history, move)
        return
    requests = {request.trace: request for request in _service_requests(history, move)}
    new_version_runs = [run for run in _new_version_runs(history, move) if run["trace"] in requests]
    bad_response_times = sorted(
        {
            request.ended_unix_s
            for run in new_version_runs
            if _is_bad_response(request := requests[run["trace"]], slow=move.kind == "slow")
        }
    )
    if (
        len(bad_response_times) > MAX_BAD_RESPONSE_SHARE * max(1, len(requests))
        and len(bad_response_times) > BAD_RESPONSES_TO_DETECT
    ):
        message = (
            f"{len(bad_response_times)} bad responses of the new version among {len(requests)}"
        )
        yield Violation("P5", message)
    responses_to_detect = BAD_RESPONSES_TO_DETECT + (
        COLD_CACHE_RESPONSES_PER_VM * history.max_vms if move.kind == "slow" else 0
    )
    if len(bad_response_times) < responses_to_detect:
        return
    late_runs = [
        run
        for run in new_version_runs
        if requests[run["trace"]].sent_unix_s
        > bad_response_times[responses_to_detect - 1] + PROPAGATION_BOUND_S
    ]
    if late_runs:
        message = f"{len(late_runs)} requests reached a bad version after the bound ({move.kind})"
        yield Violation(
            "P5",
            message,
            (f"detectable at {bad_response_times[responses_to_detect - 1]:.2f}", str(late_runs[0])),
        )


def _check_good_version(history: History, move: PlannedMove) -> Iterator[Violation]:
    for step in history.observed_steps:
        if step.phase == "rolled_back":
            yield Violation("P5", f"a good version was rolled back: {step.reason}")
    phases = {step.phase for step in history.observed_steps}
    if (
        history.ended_unix_s > move.deadline_unix_s + PROPAGATION_BOUND_S
        and "finished" not in phases
    ):
        yield Violation(
            "P5", f"a good version did not finish by its deadline; phases seen: {phases}"
        )


def _is_bad_response(request: SentRequest, slow: bool) -> bool:
    if slow:
        return request.ended_unix_s - request.sent_unix_s > SLOW_RESPONSE_S
    return request.status == 500


def _service_requests(history: History, move: PlannedMove) -> list[SentRequest]:
    return [request for request in history.requests if request.service == move.service]


def _new_version_runs(history: History, move: PlannedMove) -> list[dict]:
    return [run for run in history.runs if run["target"] in move.new_targets]
