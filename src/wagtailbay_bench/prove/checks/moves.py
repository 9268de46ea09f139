"""Check the share, the rate and the quality of a new version."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Sequence
from itertools import accumulate

from wagtailbay_bench.prove.checks.const import (
    BAD_ANSWERS,
    COLD_ANSWERS,
    PPM,
    SLOW_S,
    SMALL_SHARE,
    WITHIN_SECONDS_S,
)
from wagtailbay_bench.prove.checks.windows import Span, fullest_windows
from wagtailbay_bench.prove.models import History, PlannedMove, SentRequest, StepRead, Violation


def check_shift_cap(history: History) -> Iterator[Violation]:
    """Check that a new version's steps, share and requests a second stay within its plan."""
    move = history.move
    if move is None:
        return
    steps = sorted(history.steps, key=lambda step: step.step_unix_s)
    yield from _check_rises(move, steps)
    requests = sorted(_requests(history, move), key=lambda request: request.sent_unix_s)
    ran = _ran_new(history, move)
    yield from _check_shares(history, requests, ran, steps)
    if move.cap_per_s is None:
        return
    sent = {request.trace: request.sent_unix_s for request in requests}
    spans = [Span(sent[run["trace"]], run["unix_s"]) for run in ran if run["trace"] in sent]
    for window_s, count in fullest_windows(spans):
        # Each VM may have saved up one request.
        if count > move.cap_per_s * window_s + history.max_vms:
            message = f"{count} requests in {window_s:g} s with a cap of {move.cap_per_s:g}/s"
            yield Violation("P1", message)


def _check_rises(move: PlannedMove, steps: Sequence[StepRead]) -> Iterator[Violation]:
    share_ppm = 0
    for step in steps:
        if step.share_ppm - share_ppm > move.max_step_ppm:
            yield Violation("P1", f"a step rose from {share_ppm} to {step.share_ppm} ppm")
        share_ppm = step.share_ppm


def _check_shares(
    history: History,
    requests: Sequence[SentRequest],
    ran: Sequence[dict],
    steps: Sequence[StepRead],
) -> Iterator[Violation]:
    """Check the new version's part of all requests from the start and from each step on.

    A request counts with the highest share that was written before its end. At a step, each VM
    and route may have saved up one request, and requests on their way count on neither side.
    """
    sent_s = [request.sent_unix_s for request in requests]
    parts = [_share_ppm(steps, request.ended_unix_s) / PPM for request in requests]
    sums = [0.0, *accumulate(parts)]
    sent_of = {request.trace: request.sent_unix_s for request in requests}
    new = sorted((run["unix_s"], sent_of.get(run["trace"], run["unix_s"])) for run in ran)
    starts = {float("-inf"): 0}
    for step in steps:
        on_way = sum(r.sent_unix_s < step.step_unix_s < r.ended_unix_s for r in requests)
        saved = len(history.vm_regions) * history.move.routes
        starts[step.step_unix_s] = saved + on_way
    for start_s, allowed in starts.items():
        before = sums[bisect_left(sent_s, start_s)]
        count = 0
        for run_s, run_sent_s in new:
            if run_sent_s < start_s:
                continue
            count += 1
            allowance = sums[bisect_right(sent_s, run_s)] - before + allowed
            if count > allowance + 1e-6:
                message = f"{count} requests of the new version, {allowance:.1f} allowed"
                yield Violation("P1", message, (f"from {start_s:.2f} to {run_s:.2f}",))
                break


def _share_ppm(steps: Sequence[StepRead], until_s: float) -> int:
    """Return the highest share written up to a time."""
    return max((s.share_ppm for s in steps if s.step_unix_s <= until_s), default=0)


def check_bad_versions(history: History) -> Iterator[Violation]:
    """Check that a bad version gets little and soon nothing, and that a good one goes on."""
    move = history.move
    if move is None:
        return
    if not move.bad:
        yield from _check_good(history, move)
        return
    requests = {request.trace: request for request in _requests(history, move)}
    ran = [run for run in _ran_new(history, move) if run["trace"] in requests]
    bad = sorted(
        {
            request.ended_unix_s
            for run in ran
            if _is_bad(request := requests[run["trace"]], slow=move.kind == "slow")
        }
    )
    if len(bad) > SMALL_SHARE * max(1, len(requests)) and len(bad) > BAD_ANSWERS:
        message = f"{len(bad)} of {len(requests)} answers were bad ones of the new version"
        yield Violation("P5", message)
    shown = BAD_ANSWERS + (COLD_ANSWERS * history.max_vms if move.kind == "slow" else 0)
    if len(bad) < shown:
        return
    late = [
        run for run in ran if requests[run["trace"]].sent_unix_s > bad[shown - 1] + WITHIN_SECONDS_S
    ]
    if late:
        message = f"{len(late)} requests of a bad version after it had shown it ({move.kind})"
        yield Violation("P5", message, (f"shown {bad[shown - 1]:.2f}", str(late[0])))


def _check_good(history: History, move: PlannedMove) -> Iterator[Violation]:
    for step in history.steps:
        if step.phase == "rolled_back":
            yield Violation("P5", f"a good version was rolled back: {step.reason}")
    phases = {step.phase for step in history.steps}
    if history.ended_unix_s > move.deadline_unix_s + WITHIN_SECONDS_S and "finished" not in phases:
        yield Violation("P5", f"a good version did not finish by its deadline: {phases}")


def _is_bad(request: SentRequest, slow: bool) -> bool:
    if slow:
        return request.ended_unix_s - request.sent_unix_s > SLOW_S
    return request.status == 500


def _requests(history: History, move: PlannedMove) -> list[SentRequest]:
    return [request for request in history.requests if request.service == move.service]


def _ran_new(history: History, move: PlannedMove) -> list[dict]:
    return [run for run in history.runs if run["target"] in move.new_targets]
