"""Run one soak: store, targets, links, gateway processes and callers."""

from collections.abc import Awaitable, Callable, Mapping
from random import Random
from typing import Final

import trio
from attrs import define, field

from wagtailbay_bench.processes import ProcessGroup, free_address
from wagtailbay_bench.soak.callers import SoakCaller
from wagtailbay_bench.soak.const import (
    CLIENT_TIMEOUT_S,
    CONFIG_VERSION,
    SETTLE_S,
    WARM_UP_S,
)
from wagtailbay_bench.soak.disturb import Disturber
from wagtailbay_bench.soak.documents import (
    RECORD_ROUTES,
    SoakRoute,
    build_config,
    build_registration,
)
from wagtailbay_bench.soak.drills import DrillRunner
from wagtailbay_bench.soak.faults import ALL_FAULTS, BROKEN_HEADS, FAULTS
from wagtailbay_bench.soak.models import History, SoakSize
from wagtailbay_bench.soak.site import (
    FIRST_VERSION,
    OPTIONAL_DISTURBANCES,
    ROUTES,
    SoakSite,
    TargetPlace,
    assign_services,
    build_workspaces,
)
from wagtailbay_bench.soak.target import SoakTarget
from wagtailbay_bench.soak.vms import ZONES, SoakVm
from wagtailbay_standins.link import Link
from wagtailbay_standins.objects import ObjectApiStandin

# Every third seed stops VMs as planned while everything else is sound.
PLANNED_SEED_INTERVAL = 3
FAULT_SHARE = 0.15
REPEAT_SHARE = 0.5
# At a site, share of the requests that are answered wrongly, and of callers that leave early.
SITE_FAULT_SHARE: Final = 0.03
SITE_LEAVE_SHARE: Final = 0.03


@define
class SoakRun:
    """Processes and callers of one soak.

    Attributes:
        fronts: Name and address of each VM's link for callers.
    """

    size: SoakSize
    history: History
    random: Random
    faults: tuple[str, ...]
    group: ProcessGroup
    nursery: trio.Nursery
    api: ObjectApiStandin = field(factory=ObjectApiStandin)
    store_address: str = ""
    links: list[Link] = field(factory=list)
    vms: list[SoakVm] = field(factory=list)
    fronts: list[tuple[str, str]] = field(factory=list)

    def configure_target(self, target: SoakTarget) -> None:
        """Let a target answer wrongly, unless everything but planned stops is sound."""
        target.link_delay_s = self.size.target_delay_s
        if self.history.planned_only:
            return
        target.faults, target.fault_share = self.faults, FAULT_SHARE
        target.repeat_share = REPEAT_SHARE
        if self.size.is_site:
            target.fault_share = SITE_FAULT_SHARE
            target.names_refusals = self.random.random() < 0.5
            target.broken_head = self.random.choice(BROKEN_HEADS)
        if self.size.conforming:
            target.names_refusals, target.unnamed_copy_share, target.broken_head = True, 0.0, ""

    def record_store_call(self, method: str, path: str) -> None:
        """Record a call of the store unless it does not count for its rates."""
        if "stale_ok" not in path:
            self.history.store_calls.append((trio.current_time(), method != "GET"))

    async def start_link(self, upstream_address: str) -> Link:
        """Start a link in front of an address."""
        link = Link(free_address("127.0.0.1"), upstream_address)
        await self.nursery.start(link.run)
        return link

    async def start_targets(self) -> None:
        """Start and register the targets, each behind a link."""
        zones = list(ZONES)
        for number in range(self.size.targets):
            target = SoakTarget(f"t{number}", self.history, Random(self.random.random()))
            self.configure_target(target)
            self.links.append(await self.start_link(await self.nursery.start(target.serve)))
            fields = build_registration(self.links[-1].listen_address, zones[number % len(zones)])
            self.api.put_fields("servers", target.name, fields)

    async def start_places(self) -> list[TargetPlace]:
        """Start and register the targets of a site."""
        zones, places = list(ZONES), []
        for number, service in enumerate(assign_services(self.size.targets)):
            place = TargetPlace(
                number,
                zones[number % len(zones)],
                service,
                self.api,
                self.history,
                self.random,
                self.configure_target,
            )
            await place.start(self.nursery, cold_left="0ms")
            places.append(place)
        return places

    async def start_vms(self) -> None:
        """Start all VMs and wait until they are ready."""
        for _ in range(self.size.vms):
            self.build_vm().start(first_start=True)
        for vm in self.vms:
            await vm.wait_ready()
        for vm in self.vms:
            await self.open_front(vm)

    def build_vm(self) -> SoakVm:
        """Add a VM that is not started yet."""
        number, zones = len(self.vms), list(ZONES)
        name, zone = f"127.3.0.{number + 1}", zones[number % len(zones)]
        vm = SoakVm(name, zone, self.group, self.history, self.store_address)
        self.vms.append(vm)
        for each in self.vms:
            each.seeds = [other.peer for other in self.vms[:3]]
        return vm

    async def open_front(self, vm: SoakVm) -> None:
        """Let callers reach a VM through a link."""
        link = await self.start_link(vm.front)
        self.links.append(link)
        self.fronts.append((vm.name, link.listen_address))
        self.nursery.start_soon(vm.monitor)

    async def add_vm(self) -> None:
        """Add a VM to the running site."""
        vm = self.build_vm()
        async with vm.lock:
            vm.start(first_start=False)
            await vm.wait_ready()
        await self.open_front(vm)

    async def run_traffic(
        self,
        routes: tuple[SoakRoute, ...],
        keys: tuple[str, ...],
        happenings: Mapping[str, Callable[[], Awaitable[None]]],
    ) -> None:
        """Send requests during the disturbances and until all VMs have settled."""
        started_s = trio.current_time()
        until_s = started_s + self.size.duration_s
        disturber = Disturber(
            self.vms,
            self.links,
            self.history,
            self.random,
            happenings,
            self.size.disturbances,
            OPTIONAL_DISTURBANCES,
        )
        with trio.move_on_after(self.size.duration_s + CLIENT_TIMEOUT_S + SETTLE_S):
            async with trio.open_nursery() as nursery:
                for number in range(self.size.callers):
                    caller = SoakCaller(
                        f"c{number}",
                        self.fronts,
                        self.history,
                        Random(self.random.random()),
                        routes,
                        keys,
                        SITE_LEAVE_SHARE if self.size.is_site else 0.0,
                    )
                    nursery.start_soon(caller.run, until_s)
                await trio.sleep(WARM_UP_S)
                nursery.start_soon(disturber.run, until_s - SETTLE_S)


async def record_history(
    seed: int, size: SoakSize, faults: tuple[str, ...] = (), keep_logs: str = ""
) -> History:
    """Run a soak and return what was seen.

    Args:
        faults: Faults of targets, empty for all that the soak has; seeds divisible by three use
            none, unless the soak has a site.
        keep_logs: Folder to which the logs of the VMs are copied, empty for none.
    """
    planned_only = seed % PLANNED_SEED_INTERVAL == 0 and not size.is_site
    history = History(planned_only=planned_only)
    faults = faults or tuple(ALL_FAULTS if size.is_site else FAULTS)
    with ProcessGroup() as group:
        async with trio.open_nursery() as nursery:
            run = SoakRun(size, history, Random(seed), faults, group, nursery)
            if size.is_site:
                await _run_site(run)
            else:
                await _run_service(run)
            nursery.cancel_scope.cancel()
        if keep_logs:
            group.copy_logs(keep_logs)
    return history


async def _run_service(run: SoakRun) -> None:
    """Run a soak of one service whose targets stay."""
    run.api.put_spec("config", "main", build_config(CONFIG_VERSION, RECORD_ROUTES))
    run.store_address = await run.nursery.start(run.api.serve)
    await run.start_targets()
    await run.start_vms()
    await run.run_traffic(RECORD_ROUTES, (), {})


async def _run_site(run: SoakRun) -> None:
    """Run a soak of a site."""
    workspaces = build_workspaces()
    run.api.on_call = run.record_store_call
    run.api.put_spec("config", "main", build_config(f"{FIRST_VERSION:08x}", ROUTES, workspaces))
    store_link = await run.start_link(await run.nursery.start(run.api.serve))
    run.store_address = store_link.listen_address
    places = await run.start_places()
    site = SoakSite(
        run.api, store_link, places, run.vms, run.random, run.nursery, run.add_vm, run.history
    )
    drills = DrillRunner(site)
    # The first copies lack what the VMs write when they start.
    run.nursery.start_soon(drills.copy_store)
    await run.start_vms()
    happenings = {
        "restore_store": drills.run_drill,
        "restore_store_and_change": drills.run_series,
    }
    keys = tuple(workspace.key for workspace in workspaces)
    await run.run_traffic(ROUTES, keys, site.disturbances() | happenings)
