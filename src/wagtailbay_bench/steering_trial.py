"""Measure choosers and rollback policies; prints a line of key=value pairs for each scenario."""

import argparse
import random
import sys
import time
from functools import partial

import trio
from trio.testing import MockClock

from wagtailbay.logs import format_line
from wagtailbay.shift.models import MovePhase
from wagtailbay_bench.move_trial import (
    VERSION_BEHAVIOURS,
    FixedCountPolicy,
    JudgePolicy,
    MoveTrial,
    NoRollbackPolicy,
    VersionBehaviour,
)
from wagtailbay_bench.target_trial import SCENARIOS, Scenario, TargetTrial, TrialResults

CHOOSERS = ("round-robin", "least-connections", "two-choice")
ROLLBACK_POLICIES = {
    "none": NoRollbackPolicy,
    "fixed-count": FixedCountPolicy,
    "judge": JudgePolicy,
}
RATES_PER_S = (2.0, 30.0, 500.0)


async def run_target_trial(
    scenario: Scenario, chooser: str, seed: int, requests: int
) -> TrialResults:
    """Run one target scenario; must run on a virtual clock."""
    return await TargetTrial(scenario, chooser, seed, requests).run()


def print_target_trials(seed: int, requests: int) -> None:
    """Print latencies, shed requests and refusals for each scenario and chooser."""
    for scenario in SCENARIOS:
        for chooser in CHOOSERS:
            run = partial(run_target_trial, scenario, chooser, seed, requests)
            results = trio.run(run, clock=MockClock(autojump_threshold=0))
            values = {
                "trial": "targets",
                "scenario": scenario.name,
                "chooser": chooser,
                "seed": seed,
                "requests": requests,
                "p50_ms": round(results.quantile_ms(0.5), 1),
                "p99_ms": round(results.quantile_ms(0.99), 1),
                "sheds": results.sheds,
                "refused": results.refused,
                "late": results.timed_out,
            }
            print(format_line(values), flush=True)


def print_move_trials(seed: int, moves: int) -> None:
    """Print the results of moves to good and faulty versions for each rollback policy."""
    for behaviour in VERSION_BEHAVIOURS:
        for rate_per_s in RATES_PER_S:
            for name in ROLLBACK_POLICIES:
                print(
                    format_line(run_move_trials(behaviour, rate_per_s, name, seed, moves)),
                    flush=True,
                )


def run_move_trials(
    behaviour: VersionBehaviour, rate_per_s: float, policy_name: str, seed: int, moves: int
) -> dict[str, object]:
    """Simulate moves with consecutive seeds and return the values of their output line."""
    outcomes = [
        MoveTrial(behaviour, rate_per_s, random.Random(seed + number)).run(
            ROLLBACK_POLICIES[policy_name]()
        )
        for number in range(moves)
    ]
    finished = sum(o.phase is MovePhase.FINISHED for o in outcomes)
    correct = moves - finished if behaviour.is_faulty else finished
    return {
        "trial": "moves",
        "kind": behaviour.name,
        "rate_per_s": rate_per_s,
        "decider": policy_name,
        "seed": seed,
        "moves": moves,
        "right": correct,
        "finished": finished,
        "rolled_back": moves - finished,
        "new_part_max": round(max(o.new_version_share for o in outcomes), 4),
        "bad_s_max": max(o.faulty_s for o in outcomes),
        "bad_requests_max": max(o.affected_requests for o in outcomes),
    }


def main() -> None:
    """Parse the arguments and run the trials."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--requests", type=int, default=6_000, help="requests per line of target trials"
    )
    parser.add_argument(
        "--moves", type=int, default=20, help="simulated moves per line of move trials"
    )
    parser.add_argument("--only", choices=("targets", "moves"))
    arguments = parser.parse_args()
    started_s = time.monotonic()
    if arguments.only != "moves":
        print_target_trials(arguments.seed, arguments.requests)
    if arguments.only != "targets":
        print_move_trials(arguments.seed, arguments.moves)
    print(f"elapsed_s={time.monotonic() - started_s:.1f}", file=sys.stderr)


if __name__ == "__main__":
    main()
