"""Run the scenarios: ``script/measure [--quick] [--scenario NAME] [--report FOLDER]``."""

import argparse
import json
import sys
import time
from collections.abc import Mapping
from pathlib import Path

import trio
from attrs import frozen

from wagtailbay_bench.controls import Controls
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.load import LoadPlan, Sample, TimedFault, run_load, summarize
from wagtailbay_bench.load.report import format_page
from wagtailbay_bench.measure.const import (
    CLIENT_TIMEOUT_MS,
    FULL_DURATION_S,
    PROBE_COST_MS,
    QUICK_DURATION_S,
    QUICK_VMS,
    RATE_SCALE,
    SEED,
    SERVICE_TIME_MS,
    WARM_UP_S,
)
from wagtailbay_bench.measure.examples import Example, load_example
from wagtailbay_bench.measure.figures import Figures, build_figures, least_headroom_pct
from wagtailbay_bench.measure.scenarios import SCENARIOS, Scenario, last_region, zones_of
from wagtailbay_bench.processes import ProcessGroup

# Two deployments keep a machine of ten cores below three quarters of its processor time.
SCENARIOS_AT_ONCE = 1
BEHAVIOUR = {"service_time_ms": SERVICE_TIME_MS, "probe_cost_ms": PROBE_COST_MS, "queue": 6}


@frozen
class Variant:
    """Name a set of entry VM flags."""

    name: str
    flags: Mapping[str, str]


@frozen
class RunSettings:
    """Hold what all runs share."""

    duration_s: float
    seed: int
    report_folder: Path | None
    vms: int | None


async def measure(
    example: Example, scenario: Scenario, variant: Variant, settings: RunSettings
) -> Figures:
    """Run one variant of a scenario on a deployment of its own."""
    keys = {workspace: f"key-{workspace}" for workspace in example.workspaces}
    with ProcessGroup() as group:
        deployment = Deployment(
            group, example.documents, example.fleet, keys, example.vm_zones, BEHAVIOUR
        )
        deployment.vm_flags = dict(variant.flags)
        await deployment.start()
        controls = Controls(deployment)
        if scenario.prepare:
            await scenario.prepare(deployment, controls)
        began_unix_s, samples, plan = await send_traffic(
            example, scenario, deployment, controls, settings
        )
        runs = [run for run in await controls.history() if run["unix_s"] >= began_unix_s]
        report = summarize(plan, samples, await controls.idempotency_runs())
        headroom = least_headroom_pct(runs, *places_and_capacity(deployment))
        moved = {target["target"] for target in deployment.documents[-1]["targets"]}
        moved_runs = [run for run in runs if run["target"] in moved]
        drained_s = drain_time_s(scenario, deployment, runs, began_unix_s)
        move = await read_move(deployment, controls)
    if settings.report_folder:
        name = f"{example.name}-{scenario.name}-{variant.name}"
        write_page(settings.report_folder, name, report, samples, deployment)
    return build_figures(
        f"{example.name}/{scenario.name}",
        variant.name,
        report,
        samples,
        moved_runs,
        headroom,
        drained_s,
        move,
    )


async def send_traffic(
    example: Example,
    scenario: Scenario,
    deployment: Deployment,
    controls: Controls,
    settings: RunSettings,
) -> tuple[float, list[Sample], LoadPlan]:
    """Warm up, then send the measured traffic; returns its start, samples and plan."""
    seeds = {}
    for zone in {z for c in example.classes for z in c.availability_zones}:
        own = [a for vm, a in deployment.vm_addresses.items() if deployment.vm_zones[vm] == zone]
        seeds[zone] = [*own, *(a for a in deployment.vm_addresses.values() if a not in own)]
    warm_up = LoadPlan(example.classes, WARM_UP_S, settings.seed - 1, CLIENT_TIMEOUT_MS)
    await run_load(warm_up, deployment.keys, seeds)
    faults = ()
    if scenario.action:
        action = scenario.action
        faults = (TimedFault(scenario.at_s, scenario.name, lambda: action(deployment, controls)),)
    classes = tuple(scenario.change_classes(c) for c in example.classes)
    plan = LoadPlan(classes, settings.duration_s, settings.seed, CLIENT_TIMEOUT_MS, faults=faults)
    began_unix_s = time.time()
    return began_unix_s, await run_load(plan, deployment.keys, seeds), plan


def places_and_capacity(
    deployment: Deployment,
) -> tuple[dict[str, tuple[str, str]], dict[tuple[str, str], float]]:
    """Return service and region of each target, and each region's capacity for each service."""
    zones = deployment.fleet["availability_zones"]
    region_of = {zone["availability_zone"]: zone["region"] for zone in zones}
    places, capacity = {}, {}
    for document in deployment.documents:
        for target in document["targets"]:
            region = region_of[target["availability_zone"]]
            places[target["target"]] = (document["service"], region)
        for region in document["regions"]:
            capacity[(document["service"], region["region"])] = region["capacity_per_s"]
    return places, capacity


def drain_time_s(
    scenario: Scenario, deployment: Deployment, runs: list[dict], began_unix_s: float
) -> float | None:
    """Return the time from a drain's start to the last run on a drained target."""
    if not scenario.name.startswith("drain"):
        return None
    zone = zones_of(deployment, last_region(deployment))[-1]
    drained = {
        target["target"]
        for document in deployment.documents
        for target in document["targets"]
        if target["availability_zone"] == zone
    }
    last_s = max((run["unix_s"] for run in runs if run["target"] in drained), default=0.0)
    return max(0.0, last_s - began_unix_s - scenario.at_s)


async def read_move(deployment: Deployment, controls: Controls) -> str:
    """Return the state of the last service's move, empty without one."""
    await controls.set_store_faults()
    read = await controls.store.get(f"moves/{deployment.documents[-1]['service']}")
    if read.is_err() or read.ok_value is None:
        return ""
    return str(read.ok_value.value.get("phase", ""))


def write_page(folder: Path, name: str, report, samples, deployment: Deployment) -> None:
    """Write the page and the JSON report of one run."""
    folder.mkdir(parents=True, exist_ok=True)
    places, capacity = places_and_capacity(deployment)
    totals: dict[str, float] = {}
    for (_, region), per_s in capacity.items():
        totals[region] = totals.get(region, 0.0) + per_s
    regions = {target: region for target, (_, region) in places.items()}
    page = format_page(name, report, samples, regions, totals)
    (folder / f"{name}.html").write_text(page)
    (folder / f"{name}.json").write_text(json.dumps(report.as_json(), indent=1))


async def run_all(
    examples: list[str], scenarios: list[Scenario], settings: RunSettings
) -> list[Figures]:
    """Run all scenarios, a few at a time, each with its baseline beside it."""
    figures: list[Figures] = []
    limit = trio.CapacityLimiter(SCENARIOS_AT_ONCE)

    async def run_variant(name: str, scenario: Scenario, variant: Variant) -> None:
        found = await measure(load_example(name, settings.vms), scenario, variant, settings)
        figures.append(found)
        print(found.line(), flush=True)

    async def run_scenario(name: str, scenario: Scenario) -> None:
        async with limit, trio.open_nursery() as nursery:
            nursery.start_soon(run_variant, name, scenario, Variant("product", {}))
            if scenario.baseline_name:
                baseline = Variant(scenario.baseline_name, scenario.baseline)
                nursery.start_soon(run_variant, name, scenario, baseline)

    async with trio.open_nursery() as nursery:
        for name in examples:
            for scenario in scenarios:
                nursery.start_soon(run_scenario, name, scenario)
    return figures


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser."""
    parser = argparse.ArgumentParser(prog="measure", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="one user, short runs")
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--scenario", action="append", choices=[s.name for s in SCENARIOS])
    parser.add_argument("--user", action="append", choices=("acervo", "cascadia"))
    parser.add_argument("--report", type=Path, help="folder for pages and JSON reports")
    return parser


def main() -> int:
    """Run the measurements; fails when a deposit ran twice or was lost."""
    arguments = build_parser().parse_args()
    duration_s = QUICK_DURATION_S if arguments.quick else FULL_DURATION_S
    users = arguments.user or (["acervo"] if arguments.quick else ["acervo", "cascadia"])
    names = arguments.scenario or [s.name for s in SCENARIOS]
    vms = QUICK_VMS if arguments.quick else None
    settings = RunSettings(duration_s, arguments.seed, arguments.report, vms)
    print(f"seed={arguments.seed} duration_s={duration_s:g} rate_scale={RATE_SCALE}", flush=True)
    chosen = [s for s in SCENARIOS if s.name in names and (s.quick or not arguments.quick)]
    figures = trio.run(run_all, users, chosen, settings)
    broken = [f for f in figures if f.deposits_twice or f.deposits_lost]
    print(f"scenarios={len(chosen) * len(users)} runs={len(figures)} violated={len(broken)}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
