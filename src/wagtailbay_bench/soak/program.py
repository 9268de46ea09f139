"""Run soaks of real gateway processes: ``script/soak --seed S --seeds N``."""

import argparse
import sys
import time
from collections import Counter

import trio
from attrs import evolve

from wagtailbay_bench.soak.checks import find_violations
from wagtailbay_bench.soak.models import SoakSize
from wagtailbay_bench.soak.regressions import REGRESSIONS, Soak
from wagtailbay_bench.soak.scenario import record_history
from wagtailbay_bench.soak.target import FAULTS


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
        choices=sorted(FAULTS),
        action="append",
        help="use this fault of targets only (can be repeated)",
    )
    parser.add_argument(
        "--regressions", action="store_true", help="run the seeds that failed once, nothing else"
    )
    parser.add_argument("--keep-logs", default="", metavar="FOLDER", help="copy the VMs' logs")
    return parser


def main() -> int:
    """Run the soaks and return the exit status, 1 if any promise was broken."""
    arguments = build_parser().parse_args()
    size = SoakSize(
        arguments.vms, arguments.targets, arguments.callers, arguments.seconds, arguments.site
    )
    faults = tuple(arguments.fault or FAULTS)
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    soaks = [Soak(seed, arguments.seconds, faults=faults) for seed in seeds]
    if arguments.regressions:
        soaks = list(REGRESSIONS)
    failed_seeds = []
    for soak in soaks:
        seed, size = soak.seed, evolve(size, duration_s=soak.duration_s)
        history = trio.run(record_history, seed, size, soak.faults, arguments.keep_logs)
        violations = find_violations(history)
        statuses = Counter(exchange.status for exchange in history.exchanges)
        counts = " ".join(f"{status}={count}" for status, count in statuses.most_common())
        print(
            f"seed={seed} planned_only={history.planned_only} runs={len(history.runs)}"
            f" disturbances={len(history.faults)} {counts}"
            f" peak_mb={max(history.peak_resident_mb.values(), default=0):.0f}"
            f" violations={len(violations)}",
            flush=True,
        )
        for rule, count in Counter(violation.rule for violation in violations).items():
            print(f"  {rule}: {count}")
        for violation in violations[:8]:
            print(f"  {violation}")
        if violations:
            failed_seeds.append(seed)
    print(f"seeds={len(soaks)} failed={len(failed_seeds)} {failed_seeds or ''}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
