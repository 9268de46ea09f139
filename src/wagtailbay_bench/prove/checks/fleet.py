"""Check target drains, planned stops of VMs and configuration revisions."""

from collections import defaultdict
from collections.abc import Iterator

from wagtailbay_bench.prove.checks.const import PROPAGATION_BOUND_S
from wagtailbay_bench.prove.models import History, ObservedRevision, Violation


def check_drains(history: History) -> Iterator[Violation]:
    """Check that a target runs nothing later than the bound after its drain was accepted."""
    # A target may be drained more than once; the first drain counts.
    accepted_by_target = {d.target: d.accepted_unix_s for d in reversed(history.target_drains)}
    for run in history.runs:
        accepted_s = accepted_by_target.get(run["target"])
        if accepted_s is not None and run["unix_s"] > accepted_s + PROPAGATION_BOUND_S:
            yield Violation("P9", "a request ran on a drained target", (str(run),))


def check_stops(history: History) -> Iterator[Violation]:
    """Check that no VM cut a request off unless it was killed or frozen at some time."""
    for request in history.requests:
        cut = request.status == 0 and request.code in ("truncated", "closed")
        by_target = request.trace in history.traces_cut_by_targets
        if cut and not by_target and request.vm not in history.disrupted_vms:
            yield Violation(
                "P10", "a VM that was never killed or frozen cut a request off", (str(request),)
            )


def check_revisions(history: History) -> Iterator[Violation]:
    """Check that each revision reaches every VM in time and that no VM reverts to an older one.

    An accepted revision must be in force on each VM within the bound, unless the VM was isolated
    from the store. Of concurrent updates of one version, at most one may be accepted.
    """
    observations = defaultdict(list)
    for observation in history.observed_revisions:
        observations[observation.vm].append(observation)
    for vm, vm_observations in observations.items():
        highest = 0
        for observation in sorted(vm_observations, key=lambda item: item.read_unix_s):
            if observation.revision < highest:
                yield Violation("P11", f"{vm} reverted from {highest} to {observation.revision}")
            highest = max(highest, observation.revision)
        for accepted_s, revision in history.accepted_revisions:
            late_observations = [
                r for r in vm_observations if r.read_unix_s > accepted_s + PROPAGATION_BOUND_S
            ]
            outdated = [r for r in late_observations if r.revision < revision]
            if any(not _was_isolated_before(history, observation) for observation in outdated):
                yield Violation(
                    "P11", f"{vm} does not have revision {revision} in force within the bound"
                )
    for update_race in history.update_races:
        if len(update_race.accepted_versions) > 1:
            yield Violation(
                "P11", "concurrent updates of one version were both accepted", (str(update_race),)
            )


def _was_isolated_before(history: History, observation: ObservedRevision) -> bool:
    """Return whether a VM was isolated from the store within the bound before a read."""
    read_unix_s = observation.read_unix_s
    return history.was_isolated(observation.vm, read_unix_s - PROPAGATION_BOUND_S, read_unix_s)
