"""Run one soak: store, targets, links, gateway processes and callers."""

from random import Random

import trio

from wagtailbay_bench.processes import ProcessGroup, free_address
from wagtailbay_bench.soak.callers import SoakCaller
from wagtailbay_bench.soak.const import (
    CLIENT_TIMEOUT_S,
    CONFIG_VERSION,
    DEPOSIT_PREFIX,
    HOST,
    READ_PREFIX,
    SERVICE,
    SETTLE_S,
    TARGET_SLOTS,
    WARM_UP_S,
)
from wagtailbay_bench.soak.disturb import Disturber
from wagtailbay_bench.soak.models import History, SoakSize
from wagtailbay_bench.soak.target import FAULTS, SoakTarget
from wagtailbay_bench.soak.vms import ZONES, SoakVm
from wagtailbay_standins.link import Link
from wagtailbay_standins.objects import ObjectApiStandin

# Every third seed stops VMs as planned while everything else is sound.
PLANNED_SEED_INTERVAL = 3
FAULT_SHARE = 0.15
REPEAT_SHARE = 0.5


def build_config() -> dict:
    """Return the configuration of the soak in the platform's format."""
    common = {
        "host": HOST,
        "timeout": "6s",
        "latency_goal": "2s",
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "public": True,
        "sticky": False,
        "home_regions": [],
    }
    routes = [
        common | {"name": "read", "path_prefix": READ_PREFIX, "kind": "safe"},
        common | {"name": "deposit", "path_prefix": DEPOSIT_PREFIX, "kind": "unsafe"},
    ]
    service = {
        "name": SERVICE,
        "health_path": "/health",
        "max_conns": 1_000,
        "protocol": "h1",
        "tls": False,
        "cold": "1s",
        "cold_per_s": 50,
    }
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 1_000_000,
        "header_timeout": "3s",
        "idle_timeout": "15s",
    }
    return {
        "version": CONFIG_VERSION,
        "routes": routes,
        "services": [service],
        "limits": limits,
        "tenants": [],
    }


async def record_history(
    seed: int, size: SoakSize, faults: tuple[str, ...] = tuple(FAULTS), keep_logs: str = ""
) -> History:
    """Run a soak and return what was seen.

    Args:
        faults: Faults of targets; seeds divisible by three use none.
        keep_logs: Folder to which the logs of the VMs are copied, empty for none.
    """
    history = History(planned_only=seed % PLANNED_SEED_INTERVAL == 0)
    random = Random(seed)
    api = ObjectApiStandin()
    api.put_spec("config", "main", build_config())
    with ProcessGroup() as group:
        async with trio.open_nursery() as nursery:
            store_address = await nursery.start(api.serve)
            links = await _start_targets(nursery, size, history, random, faults, api)
            vms = await _start_vms(size.vms, group, history, store_address)
            fronts = []
            for vm in vms:
                links.append(await _start_link(nursery, vm.front))
                fronts.append((vm.name, links[-1].listen_address))
                nursery.start_soon(vm.monitor)
            await _run_traffic(
                size, history, random, fronts, Disturber(vms, links, history, random)
            )
            nursery.cancel_scope.cancel()
        if keep_logs:
            group.copy_logs(keep_logs)
    return history


def build_registration(address: str, zone: str) -> dict:
    """Return what a target writes about itself."""
    return {
        "address": address,
        "born": 1_700_000_000_000,
        "info": {"service": SERVICE, "version": "v1", "zone": zone, "slots": TARGET_SLOTS},
        "status": {"state": "ready", "seq": 1, "cold_left": "0ms"},
    }


async def _start_targets(
    nursery: trio.Nursery,
    size: SoakSize,
    history: History,
    random: Random,
    faults: tuple[str, ...],
    api: ObjectApiStandin,
) -> list[Link]:
    """Start and register the targets; return the links that lead to them."""
    zones, links = list(ZONES), []
    for number in range(size.targets):
        target = SoakTarget(f"t{number}", history, Random(random.random()))
        if not history.planned_only:
            target.faults, target.fault_share = faults, FAULT_SHARE
            target.repeat_share = REPEAT_SHARE
        links.append(await _start_link(nursery, await nursery.start(target.serve)))
        fields = build_registration(links[-1].listen_address, zones[number % len(zones)])
        api.put_fields("servers", target.name, fields)
    return links


async def _start_link(nursery: trio.Nursery, upstream_address: str) -> Link:
    link = Link(free_address("127.0.0.1"), upstream_address)
    await nursery.start(link.run)
    return link


async def _start_vms(
    count: int, group: ProcessGroup, history: History, store_address: str
) -> list[SoakVm]:
    """Start all VMs and wait until they are ready."""
    zones = list(ZONES)
    vms = [
        SoakVm(f"127.3.0.{number + 1}", zones[number % len(zones)], group, history, store_address)
        for number in range(count)
    ]
    for vm in vms:
        vm.seeds = [other.peer for other in vms[:3]]
        vm.start(first_start=True)
    for vm in vms:
        await vm.wait_ready()
    return vms


async def _run_traffic(
    size: SoakSize,
    history: History,
    random: Random,
    fronts: list[tuple[str, str]],
    disturber: Disturber,
) -> None:
    """Send requests during the disturbances and until all VMs have settled."""
    started_s = trio.current_time()
    until_s = started_s + size.duration_s
    with trio.move_on_after(size.duration_s + CLIENT_TIMEOUT_S + SETTLE_S):
        async with trio.open_nursery() as nursery:
            for number in range(size.callers):
                caller = SoakCaller(f"c{number}", fronts, history, Random(random.random()))
                nursery.start_soon(caller.run, until_s)
            await trio.sleep(WARM_UP_S)
            nursery.start_soon(disturber.run, until_s - SETTLE_S)
