"""Scenarios: traffic, injected events and the baseline that the product is compared with."""

import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from attrs import evolve, field, frozen

from wagtailbay_bench.controls import Controls
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.load import TrafficClass
from wagtailbay_bench.measure.const import ACTION_AT_S, VERSION_PLAN_DURATION_S

Action = Callable[[Deployment, Controls], Awaitable[None]]


@frozen
class Scenario:
    """One measurement scenario.

    Attributes:
        baseline_name: Name of the baseline variant; empty runs the product only.
        baseline_flags: Flags of the entry VMs of the baseline variant.
        change_classes: Function that changes each traffic class.
        prepare: Action before the traffic starts.
        action: Action that starts ``at_s`` after the traffic.
        at_s: Delay of ``action`` after the start of the traffic.
        in_quick_run: Whether ``--quick`` includes the scenario.
    """

    name: str
    baseline_name: str
    baseline_flags: Mapping[str, str]
    prepare: Action | None = None
    action: Action | None = None
    change_classes: Callable[[TrafficClass], TrafficClass] = lambda traffic_class: traffic_class
    at_s: float = field(default=ACTION_AT_S)
    in_quick_run: bool = True


def exceed_workspace_rate(traffic_class: TrafficClass) -> TrafficClass:
    """Raise the traffic of one workspace to six times its rate limit."""
    if traffic_class.workspace not in ("ipn", "pacific-carriers"):
        return traffic_class
    rate_per_s = traffic_class.rate_per_s / 0.6 * 6
    return evolve(traffic_class, rate_per_s=rate_per_s, within_rate=False)


def send_from_first_zone(traffic_class: TrafficClass) -> TrafficClass:
    """Move all clients to the first availability zone."""
    return evolve(traffic_class, availability_zones=traffic_class.availability_zones[:1])


def affected_region(deployment: Deployment) -> str:
    """Return the region that scenarios fail or drain."""
    return deployment.fleet["availability_zones"][-1]["region"]


def zones_in_region(deployment: Deployment, region: str) -> list[str]:
    """Return the availability zones of a region."""
    zones = deployment.fleet["availability_zones"]
    return [zone["availability_zone"] for zone in zones if zone["region"] == region]


def targets_in_region(deployment: Deployment, region: str) -> list[str]:
    """Return the targets of a region."""
    zones = zones_in_region(deployment, region)
    return [
        target["target"]
        for document in deployment.documents
        for target in document["targets"]
        if target["availability_zone"] in zones
    ]


async def fail_region(deployment: Deployment, controls: Controls) -> None:
    """Kill all VMs of a region and make its targets stop responding."""
    region = affected_region(deployment)
    for target in targets_in_region(deployment, region):
        await controls.set_behaviour(target, frozen_answers=True, healthy=False)
    for vm, zone in deployment.vm_zones.items():
        if zone in zones_in_region(deployment, region):
            deployment.vms[vm].kill()


async def drain_zone(deployment: Deployment, controls: Controls) -> None:
    """Drain an availability zone while the targets in all other zones are cold."""
    zone = zones_in_region(deployment, affected_region(deployment))[-1]
    for document in deployment.documents:
        for target in document["targets"]:
            if target["availability_zone"] != zone:
                await controls.set_behaviour(target["target"], cold_requests=40)
        now_s = time.time()
        drain = {
            "kind": "availability_zone",
            "name": zone,
            "start_unix_s": now_s,
            "deadline_unix_s": now_s + 4,
            "max_step_ppm": 250_000,
        }
        await controls.change_document(document["service"], drains=[drain])


async def stop_store(deployment: Deployment, controls: Controls) -> None:
    """Make the store unavailable for the rest of the run."""
    await controls.set_store_faults(outage=True)


async def misreport_target_load(deployment: Deployment, controls: Controls) -> None:
    """Make every fifth target slow while it reports a load of zero."""
    for name in sorted(deployment.target_addresses)[::5]:
        await controls.set_behaviour(name, slow_factor=12.0, reported_load=0.0)


async def send_crashing_requests(deployment: Deployment, controls: Controls) -> None:
    """Send a request that crashes its target eight times."""
    document = deployment.documents[-1]
    workspace = document["workspaces"][0]["workspace"]
    for number in range(8):
        vm = sorted(deployment.vm_addresses)[number % len(deployment.vm_addresses)]
        path = f"/{document['service']}/crash/1"
        try:
            await deployment.call(vm, path, workspace=workspace, timeout_ms=2_000)
        except RuntimeError:
            continue


async def start_failing_version(deployment: Deployment, controls: Controls) -> None:
    """Start a move to a version that fails half of its requests."""
    await start_version_move(
        deployment.documents[-1], controls, VERSION_PLAN_DURATION_S, error_ppm=500_000
    )


async def start_slow_version(deployment: Deployment, controls: Controls) -> None:
    """Start a move to a version with eight times the service time."""
    await start_version_move(
        deployment.documents[-1], controls, VERSION_PLAN_DURATION_S, slow_factor=8.0
    )


async def start_late_failing_version(deployment: Deployment, controls: Controls) -> None:
    """Start a move to a version that fails half of its requests after 40 on each target."""
    await start_version_move(
        deployment.documents[-1],
        controls,
        VERSION_PLAN_DURATION_S,
        error_ppm=500_000,
        bad_after_requests=40,
    )


async def start_healthy_version(deployment: Deployment, controls: Controls) -> None:
    """Start a move to a version that behaves like the old one."""
    await start_version_move(deployment.documents[-1], controls, VERSION_PLAN_DURATION_S)


async def start_version_move(
    document: Mapping[str, Any], controls: Controls, duration_s: float, **new_behaviour: object
) -> None:
    """Assign a new version to half of a service's targets and write its version plan.

    Args:
        new_behaviour: Behaviour settings of the targets with the new version.
    """
    changed_targets = [dict(target) for target in document["targets"]]
    for target in changed_targets[::2]:
        target["version"] = "v2"
        await controls.set_behaviour(target["target"], version="v2", **new_behaviour)
    now_s = time.time()
    plan = {
        "old_version": "v1",
        "new_version": "v2",
        "start_unix_s": now_s,
        "deadline_unix_s": now_s + duration_s,
        "max_step_ppm": 200_000,
    }
    changes = {"targets": changed_targets, "version_plan": plan}
    write_result = await controls.change_document(document["service"], **changes)
    write_result.expect("the version plan could not be written")


async def restart_all_vms(deployment: Deployment, controls: Controls) -> None:
    """Restart all VMs gracefully, three at a time."""
    await deployment.restart_vms(batch_size=3)


ROUND_ROBIN = {"--chooser": "round-robin"}
LEAST_CONNECTIONS = {"--chooser": "least-connections"}
EQUAL_SHARES = {"--shares": "equal"}
JUDGE_OFF = {"--judge": "off"}

SCENARIOS = (
    Scenario("steady", "round-robin", ROUND_ROBIN),
    Scenario("steady-local", "least-connections", LEAST_CONNECTIONS, in_quick_run=False),
    Scenario("skewed", "equal-shares", EQUAL_SHARES, change_classes=send_from_first_zone),
    Scenario("flood", "equal-shares", EQUAL_SHARES, change_classes=exceed_workspace_rate),
    Scenario("region-lost", "round-robin", ROUND_ROBIN, action=fail_region),
    Scenario("drain-cold", "round-robin", ROUND_ROBIN, action=drain_zone),
    Scenario("store-down", "equal-shares", EQUAL_SHARES, action=stop_store),
    Scenario("bad-version", "no-judge", JUDGE_OFF, action=start_failing_version),
    Scenario("slow-version", "no-judge", JUDGE_OFF, action=start_slow_version, in_quick_run=False),
    Scenario(
        "late-version", "no-judge", JUDGE_OFF, action=start_late_failing_version, in_quick_run=False
    ),
    Scenario("good-version", "no-judge", JUDGE_OFF, action=start_healthy_version),
    Scenario("crash", "round-robin", ROUND_ROBIN, action=send_crashing_requests),
    Scenario("lying-load", "least-connections", LEAST_CONNECTIONS, action=misreport_target_load),
    Scenario("rolling", "", {}, action=restart_all_vms),
)
