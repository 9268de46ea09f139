"""Check what VMs do with leaving targets, planned stops and configuration."""

from collections import defaultdict
from collections.abc import Iterator

from wagtailbay_bench.prove.checks.const import WITHIN_SECONDS_S
from wagtailbay_bench.prove.models import History, RevisionRead, Violation


def check_drains(history: History) -> Iterator[Violation]:
    """Check that a drained target ran no request sent a few seconds later."""
    # A target may be drained again; the first time counts.
    drained = {d.target: d.accepted_unix_s for d in reversed(history.drained)}
    for run in history.runs:
        accepted_s = drained.get(run["target"])
        if accepted_s is not None and run["unix_s"] > accepted_s + WITHIN_SECONDS_S:
            yield Violation("P9", "ran on a drained target", (str(run),))


def check_stops(history: History) -> Iterator[Violation]:
    """Check that no request was cut on a VM that only ever stopped gracefully."""
    for request in history.requests:
        cut = request.status == 0 and request.code in ("truncated", "closed")
        by_target = request.trace in history.cut_by_targets
        if cut and not by_target and request.vm not in history.killed_vms:
            yield Violation("P10", "a request was cut", (str(request),))


def check_revisions(history: History) -> Iterator[Violation]:
    """Check that no VM's configuration went back to an older revision."""
    reads = defaultdict(list)
    for read in history.revisions:
        reads[read.vm].append(read)
    for vm, items in reads.items():
        highest = 0
        for read in sorted(items, key=lambda item: item.read_unix_s):
            if read.revision < highest:
                yield Violation("P11", f"{vm} reverted from {highest} to {read.revision}")
            highest = max(highest, read.revision)
        for accepted_s, revision in history.in_force:
            late = [r for r in items if r.read_unix_s > accepted_s + WITHIN_SECONDS_S]
            lacking = [r for r in late if r.revision < revision]
            if any(not _was_apart_before(history, read) for read in lacking):
                yield Violation("P11", f"{vm} lacks revision {revision} after the bound")
    for race in history.races:
        if len(race.accepted) > 1:
            yield Violation("P11", "two operators changed one version", (str(race),))


def _was_apart_before(history: History, read: RevisionRead) -> bool:
    """Tell whether a VM lacked a path to the store within the bound before a read."""
    read_s = read.read_unix_s
    return history.was_apart(read.vm, read_s - WITHIN_SECONDS_S, read_s)
