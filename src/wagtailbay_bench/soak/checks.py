"""Check a history against the promises made to callers."""

from collections import defaultdict
from collections.abc import Iterator, Mapping

from wagtailbay_bench.soak.const import (
    CONFIG_APPLY_S,
    GRACE_LAST_FRACTION,
    GRACE_S,
    LATE_REQUEST_S,
    MAX_RESIDENT_MB,
    PROMISE_STATUSES,
    STOP_S,
    TARGET_DRAIN_S,
)
from wagtailbay_bench.soak.models import (
    Exchange,
    FollowedChange,
    History,
    Run,
    Violation,
)


def find_violations(history: History) -> list[Violation]:
    """Return every broken promise of a history."""
    runs_by_id = group_runs(history)
    violations = [
        *_find_false_refusals(history, runs_by_id),
        *_find_repeated_runs(history, runs_by_id),
        *_find_foreign_answers(history),
        *_find_ended_processes(history),
        *_find_late_requests(history, runs_by_id),
    ]
    if history.planned_only:
        violations += _find_lost_requests(history, runs_by_id)
    return violations


def group_runs(history: History) -> dict[str, list[Run]]:
    """Return the runs of each request, by its ID."""
    runs_by_id: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        runs_by_id[run.request_id].append(run)
    return runs_by_id


def _describe(exchange: Exchange, runs: list[Run]) -> str:
    ran_at = ",".join(run.target for run in runs) or "-"
    return (
        f"request={exchange.request_id} vm={exchange.vm} status={exchange.status} ran_at={ran_at}"
    )


def _find_false_refusals(history: History, runs_by_id: dict[str, list[Run]]) -> Iterator[Violation]:
    """Yield requests that ran although their status promises that they did not."""
    for exchange in history.exchanges:
        runs = runs_by_id.get(exchange.request_id, [])
        if not exchange.idempotent and exchange.status in PROMISE_STATUSES and runs:
            yield Violation("REFUSED", _describe(exchange, runs))


def _find_repeated_runs(history: History, runs_by_id: dict[str, list[Run]]) -> Iterator[Violation]:
    """Yield non-idempotent requests that ran more than once."""
    for exchange in history.exchanges:
        runs = runs_by_id.get(exchange.request_id, [])
        if not exchange.idempotent and len(runs) > 1:
            yield Violation("TWICE", _describe(exchange, runs))


def _find_foreign_answers(history: History) -> Iterator[Violation]:
    """Yield successes that are not the target's own answer, and seals with another status."""
    for exchange in history.exchanges:
        own = exchange.body.startswith(exchange.request_id.encode() + b" ")
        if exchange.status == 200 and (not own or exchange.request_id not in exchange.seal):
            yield Violation("MIXED", _describe(exchange, []))
        if exchange.seal and exchange.seal.rpartition("/")[2] != str(exchange.status):
            yield Violation("MIXED", f"{_describe(exchange, [])} seal={exchange.seal}")


def _find_ended_processes(history: History) -> Iterator[Violation]:
    """Yield processes that ended without being told to, or used too much memory."""
    for signal in history.signals:
        if signal.name.startswith("ended"):
            yield Violation("ENDED", f"vm={signal.vm} {signal.name} at {signal.at_s:.2f}")
    for vm, peak_mb in history.peak_resident_mb.items():
        if peak_mb > MAX_RESIDENT_MB:
            yield Violation("MEMORY", f"vm={vm} used {peak_mb:.0f} MB")


def _find_late_requests(history: History, runs_by_id: dict[str, list[Run]]) -> Iterator[Violation]:
    """Yield requests that ran against a change that every VM must have followed."""
    for change in history.changes:
        for sent_s, description in find_uses(history, runs_by_id, change):
            late_s = sent_s - change.acknowledged_s
            if late_s > (CONFIG_APPLY_S if change.kind == "key" else TARGET_DRAIN_S):
                rule = "CONFIG" if change.kind == "key" else "DRAIN"
                yield Violation(rule, f"{description} {late_s:.2f} s after the change")


def find_uses(
    history: History, runs_by_id: Mapping[str, list[Run]], change: FollowedChange
) -> Iterator[tuple[float, str]]:
    """Yield when a withdrawn key or a removed target was used, with a description.

    That is when the caller sent the request, or when it arrived at the target.
    """
    if change.kind == "target":
        for run in history.runs:
            if run.target == change.name and _is_during(run.arrived_s, change):
                yield run.arrived_s, f"request={run.request_id} ran_at={run.target}"
        return
    for exchange in history.exchanges:
        runs = runs_by_id.get(exchange.request_id, [])
        if exchange.key == change.name and _is_during(exchange.sent_s, change) and runs:
            yield exchange.sent_s, _describe(exchange, runs)


def _is_during(at_s: float, change: FollowedChange) -> bool:
    return change.acknowledged_s < at_s < change.until_s


def _find_lost_requests(history: History, runs_by_id: dict[str, list[Run]]) -> Iterator[Violation]:
    """Yield requests that a planned stop cut after they were passed on, but for long early ones."""
    stops = defaultdict(list)
    for signal in history.signals:
        if signal.name == "SIGTERM":
            stops[signal.vm].append(signal.at_s)
    for exchange in history.exchanges:
        runs = runs_by_id.get(exchange.request_id, [])
        if exchange.status is not None or not runs:
            continue
        # Signals that follow within the grace belong to the same stop.
        recent_s = [at_s for at_s in stops[exchange.vm] if 0 <= exchange.ended_s - at_s < STOP_S]
        if recent_s:
            stop_s = min(recent_s)
            came_early = exchange.sent_s <= stop_s + LATE_REQUEST_S
            at_end = exchange.ended_s >= stop_s + GRACE_S * (1 - GRACE_LAST_FRACTION)
            if came_early and at_end:
                continue
            since = (
                f"sent {exchange.sent_s - stop_s:.2f} s and cut {exchange.ended_s - stop_s:.2f} s"
            )
            yield Violation("LOST", f"{_describe(exchange, runs)} {since} after SIGTERM")
        else:
            yield Violation("LOST", f"{_describe(exchange, runs)} without a stop")
