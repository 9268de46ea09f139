"""Measure refusals within the rate under different divisions of a budget.

Every scenario runs the product's limiter and allotment on 11 VMs in three regions, on virtual
time and with a fixed seed. Requests arrive with exponential gaps; a request is inside the rate if
one bucket with the whole rate and burst, which nothing divides, admits it. One line is printed
for each scenario and division: ``design`` is the product, ``equal`` the fixed equal split and
``no_loans`` ledger shares without loans.
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
from wagtailbay_bench.budget_fleet import TrialFleet

VM_COUNT, MAX_VMS = 11, 16
WARM_UP_S = 30.0
LARGE = BudgetLimit(rate_per_s=200.0, burst=400.0)
MEDIUM = BudgetLimit(rate_per_s=20.0, burst=40.0)
SMALL = BudgetLimit(rate_per_s=2.0, burst=4.0)
# Regions state a capacity only; their burst is half a second of it.
REGION = BudgetLimit(rate_per_s=100.0, burst=50.0)
SMALL_REGION = BudgetLimit(rate_per_s=15.0, burst=7.5)
SIZES = {
    "large": LARGE,
    "medium": MEDIUM,
    "small": SMALL,
    "region": REGION,
    "tight": SMALL_REGION,
}
KINDS = ("design", "equal", "no_loans")

Choose = Callable[[random.Random, float], int]


def even(rng: random.Random, now_s: float) -> int:
    """Choose any VM."""
    return rng.randrange(VM_COUNT)


def skewed(rng: random.Random, now_s: float) -> int:
    """Choose one VM for half of the load, and the others for the rest."""
    return 0 if rng.random() < 0.5 else rng.randrange(1, VM_COUNT)


def one_vm(rng: random.Random, now_s: float) -> int:
    """Choose the same VM."""
    return 3


def jumping(rng: random.Random, now_s: float) -> int:
    """Choose one VM for 5 s, then another."""
    return int(now_s / 5.0) * 4 % VM_COUNT


@frozen
class Scenario:
    """Describe one load.

    Attributes:
        load: The part of its rate at which a workspace sends.
        limits: The workspaces; the figures are those of the ones that send within their rate.
        loud: A workspace that sends six times its rate.
    """

    name: str
    choose: Choose
    limits: dict[str, BudgetLimit]
    load: float = 0.8
    seconds: float = 60.0
    loud: str | None = None
    outage: bool = False


def scenarios() -> list[Scenario]:
    """Return all scenarios."""
    choices = {"even": even, "skewed": skewed, "one_vm": one_vm, "jumping": jumping}
    found = [
        Scenario(f"{name}_{size}", choose, {size: limit}, seconds=60.0 if size != "small" else 300)
        for name, choose in choices.items()
        for size, limit in SIZES.items()
    ]
    quiet = {f"quiet-{number}": MEDIUM for number in range(7)}
    found.append(Scenario("loud", even, {"loud": MEDIUM} | quiet, loud="loud", seconds=30.0))
    found.append(Scenario("outage_1h", jumping, {"medium": MEDIUM}, seconds=3600.0, outage=True))
    return found


async def run_scenario(scenario: Scenario, kind: str, seed: int) -> TrialFleet:
    """Run one scenario and return the fleet with its tallies."""
    rng = random.Random(seed)
    fleet = TrialFleet(kind, scenario.limits, VM_COUNT, MAX_VMS, rng)
    start_s = trio.current_time()
    count_from_s = start_s + WARM_UP_S
    until_s = count_from_s + scenario.seconds
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        async with trio.open_nursery() as senders:
            for name, limit in scenario.limits.items():
                load = 6.0 if name == scenario.loud else scenario.load
                choose = partial(scenario.choose, rng)
                senders.start_soon(
                    fleet.send, name, limit.rate_per_s * load, until_s, choose, count_from_s
                )
            await trio.sleep_until(count_from_s)
            fleet.store.down = scenario.outage
        nursery.cancel_scope.cancel()
    return fleet


def report(scenario: Scenario, kind: str, fleet: TrialFleet, took_s: float) -> str:
    """Return the line of one run."""
    within = [tally for name, tally in fleet.tallies.items() if name != scenario.loud]
    inside, refused = sum(t.inside for t in within), sum(t.refused_inside for t in within)
    waited = sorted(ms for tally in within for ms in tally.waited_ms)
    values = {
        "scenario": scenario.name,
        "division": kind,
        "sent": sum(t.sent for t in within),
        "inside_rate": inside,
        "refused": sum(t.refused for t in within),
        "refused_by_one_bucket": sum(t.sent - t.inside for t in within),
        "refused_inside": refused,
        "refused_inside_ppm": round(1e6 * refused / max(1, inside)),
        "worst_workspace_ppm": max(
            round(1e6 * t.refused_inside / max(1, t.inside)) for t in within
        ),
        "wait_p99_ms": round(waited[int(0.99 * (len(waited) - 1))], 1),
        "loan_requests_per_s": round(fleet.loan_requests / (WARM_UP_S + scenario.seconds), 2),
        "took_s": round(took_s, 1),
    }
    if scenario.loud is not None:
        loud = fleet.tallies[scenario.loud]
        values["loud_admitted_per_s"] = round((loud.sent - loud.refused) / scenario.seconds, 1)
    return format_line(values)


def main() -> int:
    """Run the scenarios whose names start with one of the arguments, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--division", choices=KINDS, action="append")
    options = parser.parse_args()
    for scenario in scenarios():
        if options.names and not scenario.name.startswith(tuple(options.names)):
            continue
        for kind in options.division or KINDS:
            started_s = time.perf_counter()
            clock = trio.testing.MockClock(autojump_threshold=0)
            fleet = trio.run(run_scenario, scenario, kind, options.seed, clock=clock)
            took_s = time.perf_counter() - started_s
            print(report(scenario, kind, fleet, took_s), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
