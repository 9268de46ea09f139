"""Run soaks of real gateway processes: ``script/soak --seed S --seeds N``."""

import argparse
import sys
import time
from bisect import bisect_left, bisect_right
from collections import Counter

import trio
from attrs import evolve

from wagtailbay_bench.soak.checks import find_uses, find_violations, group_runs
from wagtailbay_bench.soak.disturb import UNPLANNED
from wagtailbay_bench.soak.faults import ALL_FAULTS
from wagtailbay_bench.soak.models import History, SoakSize, Violation
from wagtailbay_bench.soak.regressions import REGRESSIONS, Soak
from wagtailbay_bench.soak.scenario import record_history
from wagtailbay_bench.soak.site import OPTIONAL_DISTURBANCES, SITE_DISTURBANCES

AFTER_RETURN_S = 10.0


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument(
        "--seed", type=int, default=round(time.time()), help="first seed (default: current time)"
    )
    parser.add_argument("--seeds", type=int, default=2, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of each soak")
    parser.add_argument("--vms", type=int, default=3, help="number of gateway processes")
    parser.add_argument("--targets", type=int, default=6, help="number of targets")
    parser.add_argument("--callers", type=int, default=24, help="number of callers")
    parser.add_argument(
        "--site",
        action="store_true",
        help="four services with workspaces, whose targets, VMs, store and configuration change",
    )
    parser.add_argument(
        "--fault",
        choices=sorted(ALL_FAULTS),
        action="append",
        help="use this fault of targets only (can be repeated)",
    )
    parser.add_argument(
        "--disturbance",
        choices=sorted((*UNPLANNED, *SITE_DISTURBANCES, *OPTIONAL_DISTURBANCES)),
        action="append",
        help="draw this disturbance only (can be repeated); some need --site",
    )
    parser.add_argument(
        "--target-delay-ms",
        type=float,
        default=0.0,
        help="time that bytes take between a target and any VM, in each direction",
    )
    parser.add_argument(
        "--conforming",
        action="store_true",
        help="each copy of a refusal is whole and names its request",
    )
    parser.add_argument(
        "--regressions", action="store_true", help="run the seeds that failed once, nothing else"
    )
    parser.add_argument("--keep-logs", default="", metavar="FOLDER", help="copy the VMs' logs")
    return parser


def choose_soaks(arguments: argparse.Namespace) -> list[Soak]:
    """Return the soaks that the arguments ask for."""
    if arguments.regressions:
        return list(REGRESSIONS)
    size = SoakSize(
        arguments.vms,
        arguments.targets,
        arguments.callers,
        is_site=arguments.site,
        disturbances=tuple(arguments.disturbance or ()),
        target_delay_s=arguments.target_delay_ms / 1000,
        conforming=arguments.conforming,
    )
    faults = tuple(arguments.fault or ())
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    return [Soak(seed, arguments.seconds, faults=faults, size=size) for seed in seeds]


def print_result(seed: int, history: History, violations: list[Violation]) -> None:
    """Print what was seen in one soak, with the first violations."""
    statuses = Counter(exchange.status for exchange in history.exchanges)
    same_connection = sum(returned.same_connection for returned in history.returned)
    counts = " ".join(f"{status}={count}" for status, count in statuses.most_common())
    print(
        f"seed={seed} planned_only={history.planned_only} runs={len(history.runs)}"
        f" returned={len(history.returned)} same_connection={same_connection}"
        f" disturbances={len(history.faults)} drills={len(history.drills)}"
        f" lost_objects={sum(drill.lost_objects for drill in history.drills)}"
        f" lost_own_objects={sum(drill.lost_own_objects for drill in history.drills)}"
        f" reissued_revisions={sum(drill.reissued_revisions for drill in history.drills)} {counts}"
        f" peak_mb={max(history.peak_resident_mb.values(), default=0):.0f}"
        f" violations={len(violations)}",
        flush=True,
    )
    if history.drills:
        print(f"  {describe_drills(history)}")
    for rule, count in Counter(violation.rule for violation in violations).items():
        print(f"  {rule}: {count}")
    for violation in violations[:8]:
        print(f"  {violation}")


def describe_drills(history: History) -> str:
    """Describe how the VMs followed the store after drills.

    That is the highest number of its calls in any second that begins within 10 s after a return,
    and how long after its acknowledgement a change still had no effect on some request.
    """
    runs_by_id = group_runs(history)
    followed_s = [
        max((used_s - change.acknowledged_s for used_s, _ in uses), default=0.0)
        for change in history.changes
        for uses in [list(find_uses(history, runs_by_id, change))]
    ]
    rates = [peak_rate_per_s(history, writes) for writes in (False, True)]
    return (
        f"reads_per_s={rates[0]} writes_per_s={rates[1]} changes={len(history.changes)}"
        f" followed_s={', '.join(f'{value:.2f}' for value in followed_s)}"
    )


def peak_rate_per_s(history: History, writes: bool) -> int:
    """Return the highest number of calls of the store in a second after a return."""
    times_s = [at_s for at_s, is_write in history.store_calls if is_write is writes]
    return max(
        (
            bisect_right(times_s, start_s + 1.0) - bisect_left(times_s, start_s)
            for drill in history.drills
            for start_s in times_s
            if 0.0 <= start_s - drill.returned_s < AFTER_RETURN_S
        ),
        default=0,
    )


def main() -> int:
    """Run the soaks and return the exit status, 1 if any promise was broken."""
    parser = build_parser()
    arguments = parser.parse_args()
    if not arguments.site and set(arguments.disturbance or ()) - set(UNPLANNED):
        parser.error(f"without --site, --disturbance is one of {', '.join(UNPLANNED)}")
    soaks = choose_soaks(arguments)
    failed_seeds = []
    for soak in soaks:
        size = evolve(soak.size, duration_s=soak.duration_s)
        history = trio.run(record_history, soak.seed, size, soak.faults, arguments.keep_logs)
        violations = find_violations(history)
        print_result(soak.seed, history, violations)
        if violations:
            failed_seeds.append(soak.seed)
    print(f"seeds={len(soaks)} failed={len(failed_seeds)} {failed_seeds or ''}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
