"""Run the measurement scenarios and print the figures of each variant.

Usage: ``script/measure [--quick] [--scenario NAME] [--report FOLDER]``.
"""

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
from wagtailbay_bench.load import LoadPlan, Sample, ScheduledAction, run_load, summarize
from wagtailbay_bench.load.report import format_page
from wagtailbay_bench.measure.const import (
    CLIENT_TIMEOUT_MS,
    FULL_DURATION_S,
    PROBE_COST_MS,
    QUICK_DURATION_S,
    QUICK_VM_COUNT,
    RATE_SCALE,
    SEED,
    SERVICE_TIME_MS,
    WARM_UP_S,
)
from wagtailbay_bench.measure.examples import Example, load_example
from wagtailbay_bench.measure.figures import Figures, build_figures, compute_least_headroom_pct
from wagtailbay_bench.measure.scenarios import SCENARIOS, Scenario, affected_region, zones_in_region
from wagtailbay_bench.processes import ProcessGroup

# A scenario runs two deployments, which keep the CPU use of a ten-core machine below 75%.
MAX_CONCURRENT_SCENARIOS = 1
TARGET_BEHAVIOUR = {"service_time_ms": SERVICE_TIME_MS, "probe_cost_ms": PROBE_COST_MS, "queue": 6}


@frozen
class Variant:
    """Named set of command-line flags of the entry VMs."""

    name: str
    flags: Mapping[str, str]


@frozen
class RunSettings:
    """Settings shared by all runs.

    Attributes:
        report_folder: Folder for HTML and JSON reports; None writes none.
        vm_limit: Number of entry VMs to start; None starts all VMs of the example.
    """

    duration_s: float
    seed: int
    report_folder: Path | None
    vm_limit: int | None


async def measure_variant(
    example: Example, scenario: Scenario, variant: Variant, settings: RunSettings
) -> Figures:
    """Run one variant of a scenario on its own deployment."""
    keys = {workspace: f"key-{workspace}" for workspace in example.workspaces}
    with ProcessGroup() as group:
        deployment = Deployment(
            group, example.documents, example.fleet, keys, example.vm_zones, TARGET_BEHAVIOUR
        )
        deployment.vm_flags = dict(variant.flags)
        await deployment.start()
        controls = Controls(deployment)
        if scenario.prepare:
            await scenario.prepare(deployment, controls)
        started_unix_s, samples, plan = await send_traffic(
            example, scenario, deployment, controls, settings
        )
        runs = [run for run in await controls.run_history() if run["unix_s"] >= started_unix_s]
        report = summarize(plan, samples, await controls.count_idempotency_runs())
        headroom = compute_least_headroom_pct(runs, *locations_and_capacity(deployment))
        moved_targets = {target["target"] for target in deployment.documents[-1]["targets"]}
        moved_runs = [run for run in runs if run["target"] in moved_targets]
        drain_time_s = compute_drain_time_s(scenario, deployment, runs, started_unix_s)
        move = await read_move_phase(deployment, controls)
    if settings.report_folder:
        name = f"{example.name}-{scenario.name}-{variant.name}"
        write_report(settings.report_folder, name, report, samples, deployment)
    return build_figures(
        f"{example.name}/{scenario.name}",
        variant.name,
        report,
        samples,
        moved_runs,
        headroom,
        drain_time_s,
        move,
    )


async def send_traffic(
    example: Example,
    scenario: Scenario,
    deployment: Deployment,
    controls: Controls,
    settings: RunSettings,
) -> tuple[float, list[Sample], LoadPlan]:
    """Send warm-up traffic and then the measured traffic.

    Returns:
        Start of the measured traffic as a Unix time, its samples and its plan.
    """
    seeds = {}
    for zone in {z for c in example.classes for z in c.availability_zones}:
        zone_addresses = [
            a for vm, a in deployment.vm_addresses.items() if deployment.vm_zones[vm] == zone
        ]
        seeds[zone] = [
            *zone_addresses,
            *(a for a in deployment.vm_addresses.values() if a not in zone_addresses),
        ]
    warm_up = LoadPlan(example.classes, WARM_UP_S, settings.seed - 1, CLIENT_TIMEOUT_MS)
    await run_load(warm_up, deployment.keys, seeds)
    scheduled_actions = ()
    if scenario.action:
        action = scenario.action
        scheduled_actions = (
            ScheduledAction(scenario.at_s, scenario.name, lambda: action(deployment, controls)),
        )
    classes = tuple(scenario.change_classes(c) for c in example.classes)
    plan = LoadPlan(
        classes,
        settings.duration_s,
        settings.seed,
        CLIENT_TIMEOUT_MS,
        scheduled_actions=scheduled_actions,
    )
    started_unix_s = time.time()
    return started_unix_s, await run_load(plan, deployment.keys, seeds), plan


def locations_and_capacity(
    deployment: Deployment,
) -> tuple[dict[str, tuple[str, str]], dict[tuple[str, str], float]]:
    """Return the service and region of each target and the capacity by service and region."""
    zones = deployment.fleet["availability_zones"]
    region_of = {zone["availability_zone"]: zone["region"] for zone in zones}
    locations, capacity = {}, {}
    for document in deployment.documents:
        for target in document["targets"]:
            region = region_of[target["availability_zone"]]
            locations[target["target"]] = (document["service"], region)
        for region in document["regions"]:
            capacity[(document["service"], region["region"])] = region["capacity_per_s"]
    return locations, capacity


def compute_drain_time_s(
    scenario: Scenario, deployment: Deployment, runs: list[dict], started_unix_s: float
) -> float | None:
    """Compute the time from the start of a drain to the last run on a drained target.

    Returns None for scenarios without a drain.
    """
    if not scenario.name.startswith("drain"):
        return None
    zone = zones_in_region(deployment, affected_region(deployment))[-1]
    drained = {
        target["target"]
        for document in deployment.documents
        for target in document["targets"]
        if target["availability_zone"] == zone
    }
    last_s = max((run["unix_s"] for run in runs if run["target"] in drained), default=0.0)
    return max(0.0, last_s - started_unix_s - scenario.at_s)


async def read_move_phase(deployment: Deployment, controls: Controls) -> str:
    """Read the phase of the last service's version move; empty without a move.

    Store faults are removed first, so that the store can be read.
    """
    await controls.set_store_faults()
    result = await controls.store.get(f"moves/{deployment.documents[-1]['service']}")
    if result.is_err() or result.ok_value is None:
        return ""
    return str(result.ok_value.value.get("phase", ""))


def write_report(folder: Path, name: str, report, samples, deployment: Deployment) -> None:
    """Write the HTML and JSON reports of one run."""
    folder.mkdir(parents=True, exist_ok=True)
    locations, capacity = locations_and_capacity(deployment)
    region_capacity_per_s: dict[str, float] = {}
    for (_, region), per_s in capacity.items():
        region_capacity_per_s[region] = region_capacity_per_s.get(region, 0.0) + per_s
    regions = {target: region for target, (_, region) in locations.items()}
    page = format_page(name, report, samples, regions, region_capacity_per_s)
    (folder / f"{name}.html").write_text(page)
    (folder / f"{name}.json").write_text(json.dumps(report.as_json(), indent=1))


async def run_all(
    examples: list[str], scenarios: list[Scenario], settings: RunSettings
) -> list[Figures]:
    """Run all scenarios, each at the same time as its baseline.

    MAX_CONCURRENT_SCENARIOS limits how many scenarios run concurrently.
    """
    figures: list[Figures] = []
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_SCENARIOS)

    async def measure_and_print(name: str, scenario: Scenario, variant: Variant) -> None:
        variant_figures = await measure_variant(
            load_example(name, settings.vm_limit), scenario, variant, settings
        )
        figures.append(variant_figures)
        print(variant_figures.format_line(), flush=True)

    async def run_scenario(name: str, scenario: Scenario) -> None:
        async with limiter, trio.open_nursery() as nursery:
            nursery.start_soon(measure_and_print, name, scenario, Variant("product", {}))
            if scenario.baseline_name:
                baseline = Variant(scenario.baseline_name, scenario.baseline_flags)
                nursery.start_soon(measure_and_print, name, scenario, baseline)

    async with trio.open_nursery() as nursery:
        for name in examples:
            for scenario in scenarios:
                nursery.start_soon(run_scenario, name, scenario)
    return figures


def build_parser() -> argparse.ArgumentParser:
    """Build the command-line parser."""
    parser = argparse.ArgumentParser(prog="measure", description=__doc__)
    parser.add_argument(
        "--quick", action="store_true", help="run shorter scenarios with one example and fewer VMs"
    )
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--scenario", action="append", choices=[s.name for s in SCENARIOS])
    parser.add_argument("--user", action="append", choices=("acervo", "cascadia"))
    parser.add_argument("--report", type=Path, help="folder for HTML and JSON reports")
    return parser


def main() -> int:
    """Run the measurements and return 1 if a deposit ran twice or was lost."""
    arguments = build_parser().parse_args()
    duration_s = QUICK_DURATION_S if arguments.quick else FULL_DURATION_S
    users = arguments.user or (["acervo"] if arguments.quick else ["acervo", "cascadia"])
    names = arguments.scenario or [s.name for s in SCENARIOS]
    vm_limit = QUICK_VM_COUNT if arguments.quick else None
    settings = RunSettings(duration_s, arguments.seed, arguments.report, vm_limit)
    print(f"seed={arguments.seed} duration_s={duration_s:g} rate_scale={RATE_SCALE}", flush=True)
    selected = [s for s in SCENARIOS if s.name in names and (s.in_quick_run or not arguments.quick)]
    figures = trio.run(run_all, users, selected, settings)
    violations = [f for f in figures if f.deposits_twice or f.deposits_lost]
    print(f"scenarios={len(selected) * len(users)} runs={len(figures)} violated={len(violations)}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
