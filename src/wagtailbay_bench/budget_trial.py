"""Measure how many requests within the rate are refused under different divisions of a budget.

Each scenario runs the production limiter and allotment on 11 VMs in three regions, in virtual
time and with a fixed seed. Requests arrive with exponentially distributed gaps. A request is
within the rate if a single token bucket with the whole rate and burst admits it. The output has
one line for each scenario and division: ``design`` is the production division, ``equal`` a fixed
equal split and ``no_loans`` ledger shares without loans.
"""

import argparse
import random
import sys
import time
from collections.abc import Callable
from functools import partial

import trio
import trio.testing
from attrs import frozen

from wagtailbay.limits import BudgetLimit
from wagtailbay.logs import format_line
from wagtailbay_bench.budget_fleet import SimulatedFleet

VM_COUNT, MAX_VMS = 11, 16
WARM_UP_S = 30.0
LARGE = BudgetLimit(rate_per_s=200.0, burst=400.0)
MEDIUM = BudgetLimit(rate_per_s=20.0, burst=40.0)
SMALL = BudgetLimit(rate_per_s=2.0, burst=4.0)
# A region configures only a capacity; its burst is the capacity for half a second.
REGION = BudgetLimit(rate_per_s=100.0, burst=50.0)
SMALL_REGION = BudgetLimit(rate_per_s=15.0, burst=7.5)
SIZES = {
    "large": LARGE,
    "medium": MEDIUM,
    "small": SMALL,
    "region": REGION,
    "tight": SMALL_REGION,
}
DIVISIONS = ("design", "equal", "no_loans")

VmSelector = Callable[[random.Random, float], int]


def select_evenly(rng: random.Random, now_s: float) -> int:
    """Select any VM with equal probability."""
    return rng.randrange(VM_COUNT)


def select_skewed(rng: random.Random, now_s: float) -> int:
    """Select one VM for half of the requests and the other VMs for the rest."""
    return 0 if rng.random() < 0.5 else rng.randrange(1, VM_COUNT)


def select_one_vm(rng: random.Random, now_s: float) -> int:
    """Select the same VM for all requests."""
    return 3


def select_rotating(rng: random.Random, now_s: float) -> int:
    """Select one VM for 5 s, then another."""
    return int(now_s / 5.0) * 4 % VM_COUNT


@frozen
class Scenario:
    """Load scenario of a simulated fleet.

    Attributes:
        choose_vm: Selects the VM that receives a request.
        limits: Limit of each workspace; the results cover the workspaces that send within theirs.
        load_factor: Fraction of its rate at which a workspace sends.
        overloading_workspace: Workspace that sends at six times its rate.
        store_outage: Whether the store is unavailable during the measurement.
    """

    name: str
    choose_vm: VmSelector
    limits: dict[str, BudgetLimit]
    load_factor: float = 0.8
    duration_s: float = 60.0
    overloading_workspace: str | None = None
    store_outage: bool = False


def scenarios() -> list[Scenario]:
    """Build all scenarios."""
    selectors = {
        "even": select_evenly,
        "skewed": select_skewed,
        "one_vm": select_one_vm,
        "jumping": select_rotating,
    }
    all_scenarios = [
        Scenario(
            f"{name}_{size}", choose_vm, {size: limit}, duration_s=60.0 if size != "small" else 300
        )
        for name, choose_vm in selectors.items()
        for size, limit in SIZES.items()
    ]
    quiet = {f"quiet-{number}": MEDIUM for number in range(7)}
    all_scenarios.append(
        Scenario(
            "loud",
            select_evenly,
            {"loud": MEDIUM} | quiet,
            overloading_workspace="loud",
            duration_s=30.0,
        )
    )
    all_scenarios.append(
        Scenario(
            "outage_1h", select_rotating, {"medium": MEDIUM}, duration_s=3600.0, store_outage=True
        )
    )
    return all_scenarios


async def run_scenario(scenario: Scenario, division: str, seed: int) -> SimulatedFleet:
    """Run one scenario and return the fleet with its request counts."""
    rng = random.Random(seed)
    fleet = SimulatedFleet(division, scenario.limits, VM_COUNT, MAX_VMS, rng)
    start_s = trio.current_time()
    measure_from_s = start_s + WARM_UP_S
    until_s = measure_from_s + scenario.duration_s
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        async with trio.open_nursery() as senders:
            for name, limit in scenario.limits.items():
                load_factor = (
                    6.0 if name == scenario.overloading_workspace else scenario.load_factor
                )
                choose_vm = partial(scenario.choose_vm, rng)
                senders.start_soon(
                    fleet.send,
                    name,
                    limit.rate_per_s * load_factor,
                    until_s,
                    choose_vm,
                    measure_from_s,
                )
            await trio.sleep_until(measure_from_s)
            fleet.store.down = scenario.store_outage
        nursery.cancel_scope.cancel()
    return fleet


def format_result(
    scenario: Scenario, division: str, fleet: SimulatedFleet, elapsed_s: float
) -> str:
    """Format the results of one run as a line of key=value pairs."""
    measured_counts = [
        counts
        for name, counts in fleet.counts_by_workspace.items()
        if name != scenario.overloading_workspace
    ]
    within_rate, refused = sum(t.within_rate for t in measured_counts), sum(
        t.refused_within_rate for t in measured_counts
    )
    wait_times_ms = sorted(ms for counts in measured_counts for ms in counts.wait_times_ms)
    values = {
        "scenario": scenario.name,
        "division": division,
        "sent": sum(t.sent for t in measured_counts),
        "inside_rate": within_rate,
        "refused": sum(t.refused for t in measured_counts),
        "refused_by_one_bucket": sum(t.sent - t.within_rate for t in measured_counts),
        "refused_inside": refused,
        "refused_inside_ppm": round(1e6 * refused / max(1, within_rate)),
        "worst_workspace_ppm": max(
            round(1e6 * t.refused_within_rate / max(1, t.within_rate)) for t in measured_counts
        ),
        "wait_p99_ms": round(wait_times_ms[int(0.99 * (len(wait_times_ms) - 1))], 1),
        "loan_requests_per_s": round(fleet.loan_requests / (WARM_UP_S + scenario.duration_s), 2),
        "took_s": round(elapsed_s, 1),
    }
    if scenario.overloading_workspace is not None:
        overloading_counts = fleet.counts_by_workspace[scenario.overloading_workspace]
        values["loud_admitted_per_s"] = round(
            (overloading_counts.sent - overloading_counts.refused) / scenario.duration_s, 1
        )
    return format_line(values)


def main() -> int:
    """Run the scenarios whose names start with one of the arguments, or all scenarios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--division", choices=DIVISIONS, action="append")
    options = parser.parse_args()
    for scenario in scenarios():
        if options.names and not scenario.name.startswith(tuple(options.names)):
            continue
        for division in options.division or DIVISIONS:
            started_s = time.perf_counter()
            clock = trio.testing.MockClock(autojump_threshold=0)
            fleet = trio.run(run_scenario, scenario, division, options.seed, clock=clock)
            elapsed_s = time.perf_counter() - started_s
            print(format_result(scenario, division, fleet, elapsed_s), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
