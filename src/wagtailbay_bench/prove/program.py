"""Check histories: ``script/prove --seed S --histories N --property NAME --fault NAME``."""

import argparse
import sys
import time
from collections.abc import Mapping

import trio

from wagtailbay.programs.mechanisms import MECHANISM_NAMES, parse_mechanisms
from wagtailbay_bench.prove.checks import CHECKS, check_history
from wagtailbay_bench.prove.const import HISTORY_DURATION_S
from wagtailbay_bench.prove.faults import ALL_FAULTS, FAULTS
from wagtailbay_bench.prove.history_recorder import record_history
from wagtailbay_bench.prove.models import History, Violation

MAX_MINIMIZE_RUNS = 4


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    parser = argparse.ArgumentParser(prog="prove", description=__doc__)
    parser.add_argument(
        "--seed",
        type=int,
        default=round(time.time()),
        help="seed of the first history (default: current time)",
    )
    parser.add_argument("--histories", type=int, default=2, help="number of histories to record")
    parser.add_argument("--property", choices=sorted(CHECKS), help="check this property only")
    parser.add_argument(
        "--seconds",
        type=float,
        default=HISTORY_DURATION_S,
        help="duration of a history; from 100 s on, good versions must finish their move",
    )
    parser.add_argument(
        "--fault",
        choices=sorted(ALL_FAULTS),
        action="append",
        help="inject this fault only (can be repeated)",
    )
    parser.add_argument(
        "--without",
        type=parse_mechanisms,
        default=frozenset(),
        metavar="NAME[,NAME]",
        help=f"disable mechanisms, whose checks must then fail: {', '.join(MECHANISM_NAMES)}",
    )
    return parser


def find_violations(history: History, name: str | None) -> list[Violation]:
    """Return the violations of the named property, or of all if the name is None."""
    return list(CHECKS[name](history)) if name else check_history(history)


def minimize_faults(
    seed: int, faults: list[str], name: str | None, vm_flags: Mapping[str, str]
) -> list[str]:
    """Remove faults one at a time while a violation still occurs, in a bounded number of runs."""
    remaining = list(faults)
    for fault in faults[:MAX_MINIMIZE_RUNS]:
        candidate = [item for item in remaining if item != fault]
        if candidate and find_violations(trio.run(record_history, seed, candidate, vm_flags), name):
            remaining = candidate
    return remaining


def main() -> int:
    """Record and check the histories and return the exit status."""
    arguments = build_parser().parse_args()
    fault_names = arguments.fault or list(FAULTS)
    vm_flags = {"--without": ",".join(sorted(arguments.without))}
    violations, faults, requests = 0, 0, 0
    for seed in range(arguments.seed, arguments.seed + arguments.histories):
        history = trio.run(record_history, seed, fault_names, vm_flags, arguments.seconds)
        found_violations = find_violations(history, arguments.property)
        violations += len(found_violations)
        faults += len(history.faults)
        requests += len(history.requests)
        answered = sum(request.status == 200 for request in history.requests)
        print(
            f"seed={seed} requests={len(history.requests)} answered={answered}"
            f" runs={len(history.runs)} move={history.move.kind} faults={len(history.faults)}"
            f" violations={len(found_violations)}",
            flush=True,
        )
        for violation in found_violations[:5]:
            print(f"  {violation}")
        if found_violations:
            print(f"  faults: {', '.join(history.faults)}")
            injected_faults = sorted({item.split()[1] for item in history.faults})
            # Expected violations and long histories are not minimized: each run records a history.
            if arguments.without or arguments.seconds > HISTORY_DURATION_S:
                continue
            remaining = minimize_faults(seed, injected_faults, arguments.property, vm_flags)
            options = " ".join(f"--fault {name}" for name in remaining)
            print(f"  reproduce with: script/prove --seed {seed} --histories 1 {options}")
    print(
        f"properties={1 if arguments.property else len(CHECKS)}"
        f" histories={arguments.histories} faults={faults} violations={violations}"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
