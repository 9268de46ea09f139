"""Deployment of four services whose targets, VMs, configuration and store change during a soak."""

from collections.abc import Awaitable, Callable, Mapping
from math import inf
from random import Random
from typing import Final

import trio
from attrs import define, evolve, field

from wagtailbay_bench.soak.disturb import hold_fault
from wagtailbay_bench.soak.documents import (
    FIRST_BORN_UNIX_MS,
    SoakRoute,
    SoakWorkspace,
    build_config,
    build_registration,
)
from wagtailbay_bench.soak.models import History
from wagtailbay_bench.soak.target import SoakTarget
from wagtailbay_bench.soak.vms import ZONES, SoakVm
from wagtailbay_standins.link import Link
from wagtailbay_standins.objects import ObjectApiStandin

# Share of all targets that belong to each service.
SERVICE_SHARES: Final = {"search": 0.34, "intake": 0.19, "feed": 0.42, "files": 0.05}
ROUTES: Final = (
    SoakRoute("lookup", "/lookup/", "search", True),
    SoakRoute("submission", "/submission/", "intake", False),
    SoakRoute("harvest", "/harvest/", "feed", True),
    SoakRoute("download", "/download/", "files", True),
)
ADDED_ROUTE: Final = SoakRoute("urgent", "/submission/1/", "intake", False)
WORKSPACE_COUNT: Final = 8
# Every fourth workspace has a rate, which its callers exceed now and then.
LIMITED_RATE_PER_S: Final = 20.0
# After a crash, the store shows the entry of a target for this long.
ENTRY_LAPSE_S: Final = 4.5
DRAIN_S: Final = 3.5
ADDRESS_REUSE_S: Final = 2.0
DOWN_RANGE_S: Final = (0.5, 4.0)
QUICK_RESTART_S: Final = 0.1
COLD_LEFT: Final = "1s"
IDLE_DROP_S: Final = 0.3
FLAP_COUNT: Final = 3
FLAP_PERIOD_S: Final = 1.4
REGION_DOWN_S: Final = 1.5
SLOW_STORE_DELAY_MS: Final = 120.0
FAULT_RANGE_S: Final = (1.5, 6.0)
# Targets that one disturbance concerns.
MAX_TARGETS_AT_ONCE: Final = 6
FIRST_VERSION: Final = 7
# Names of the methods of a site, without their underscore.
OWN_DISTURBANCES: Final = (
    "crash_targets",
    "restart_targets",
    "return_targets",
    "flap_targets",
    "replace_targets",
    "drain_targets",
    "drop_idle",
    "change_config",
    "roll_out",
    "stop_store",
    "slow_store",
    "silent_store",
    "lose_region",
)
SITE_DISTURBANCES: Final = (*OWN_DISTURBANCES, "add_vm")
# Drawn only where a soak names them, so that the seeds of others keep their meaning.
OPTIONAL_DISTURBANCES: Final = ("restore_store", "restore_store_and_change")


@define
class TargetPlace:
    """Address at which one target after another serves.

    Attributes:
        configure: Sets the faults of a new target.
        incarnation: Number of targets that were started here.
        target: The last target that was started here.
        running: Whether it serves.
    """

    number: int
    zone: str
    service: str
    api: ObjectApiStandin
    history: History
    random: Random
    configure: Callable[[SoakTarget], None]
    incarnation: int = 0
    port: int = 0
    address: str = ""
    target: SoakTarget | None = None
    running: bool = False
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    lock: trio.Lock = field(factory=trio.Lock)

    async def start(
        self,
        nursery: trio.Nursery,
        version: str = "v1",
        cold_left: str = COLD_LEFT,
        keep_name: bool = False,
    ) -> None:
        """Start a target and register it, unless one is running.

        Args:
            keep_name: Whether it has the name of the last one, not one of its own.
        """
        async with self.lock:
            if not self.running:
                self.incarnation += 1
                name = f"t{self.number}.{self.incarnation}"
                if keep_name and self.target is not None:
                    name = self.target.name
                await self._start(nursery, name, version, cold_left)

    async def _start(self, nursery: trio.Nursery, name: str, version: str, cold_left: str) -> None:
        self.target = SoakTarget(name, self.history, Random(self.random.random()))
        self.configure(self.target)
        try:
            self.address = await nursery.start(self._serve, self.target)
        except OSError:
            # An outgoing connection uses the port.
            self.port = 0
            self.address = await nursery.start(self._serve, self.target)
        self.port = int(self.address.rpartition(":")[2])
        self.running = True
        self.register(version=version, cold_left=cold_left)

    async def _serve(self, target: SoakTarget, *, task_status: trio.TaskStatus) -> None:
        with trio.CancelScope() as self.scope:
            await target.serve(self.port, task_status=task_status)

    def register(self, **fields: str) -> None:
        """Write the entry of the running target."""
        born_unix_ms = FIRST_BORN_UNIX_MS + self.incarnation
        entry = build_registration(
            self.address, self.zone, self.service, born_unix_ms=born_unix_ms, **fields
        )
        self.api.put_fields("servers", self.target.name, entry)

    def crash(self) -> None:
        """End the target and reset its connections; its entry stays."""
        self.target.reset_connections()
        self.end()

    def end(self) -> None:
        """End the target."""
        self.running = False
        self.scope.cancel()


@define
class SoakSite:
    """Things that happen to the site of a soak, by name.

    Attributes:
        store_link: Link in front of the store.
        add_vm: Adds a VM.
        version: Version of the last configuration.
        config: The last configuration; None before the first change.
    """

    api: ObjectApiStandin
    store_link: Link
    places: list[TargetPlace]
    vms: list[SoakVm]
    random: Random
    nursery: trio.Nursery
    add_vm: Callable[[], Awaitable[None]]
    history: History
    version: int = FIRST_VERSION
    config: dict | None = None

    def disturbances(self) -> Mapping[str, Callable[[], Awaitable[None]]]:
        """Return what can happen to the site."""
        own = {name: getattr(self, f"_{name}") for name in OWN_DISTURBANCES}
        return own | {"add_vm": self.add_vm}

    def _pick_places(self) -> list[TargetPlace]:
        running = [place for place in self.places if place.running]
        count = min(len(running), self.random.randint(1, MAX_TARGETS_AT_ONCE))
        return self.random.sample(running, count)

    def forget_later(self, name: str, delay_s: float = ENTRY_LAPSE_S) -> None:
        """Remove the entry of a target after a while."""

        async def forget() -> None:
            await trio.sleep(delay_s)
            self.api.remove("servers", name)

        self.nursery.start_soon(forget)

    async def _crash_and_return(self, places: list[TargetPlace], down_s: float) -> None:
        for place in places:
            place.crash()
            self.forget_later(place.target.name)
        await trio.sleep(down_s)
        for place in places:
            await place.start(self.nursery)

    async def _crash_targets(self) -> None:
        await self._crash_and_return(self._pick_places(), self.random.uniform(*DOWN_RANGE_S))

    async def _restart_targets(self) -> None:
        """Restart targets at once, so that two entries name each address for a while."""
        await self._crash_and_return(self._pick_places(), QUICK_RESTART_S)

    async def _return_targets(self) -> None:
        """Restart targets at once under the names that they had."""
        places = self._pick_places()
        for place in places:
            place.crash()
        await trio.sleep(QUICK_RESTART_S)
        for place in places:
            await place.start(self.nursery, keep_name=True)

    async def _flap_targets(self) -> None:
        places = self._pick_places()
        for _ in range(FLAP_COUNT):
            running = [place for place in places if place.running]
            await self._crash_and_return(running, FLAP_PERIOD_S / 2)
            await trio.sleep(FLAP_PERIOD_S / 2)

    async def _replace_targets(self) -> None:
        """Give the addresses of crashed targets to another service."""
        places = self._pick_places()
        service = self.random.choice(sorted(SERVICE_SHARES))
        for place in places:
            place.service = service
        await self._crash_and_return(places, ADDRESS_REUSE_S)

    async def _drain_targets(self) -> None:
        places = self._pick_places()
        names = [place.target.name for place in places]
        for place in places:
            place.register(state="draining")
        await trio.sleep(DRAIN_S)
        for place, name in zip(places, names, strict=True):
            self.api.remove("servers", name)
            if place.running and place.target.name == name:
                # A clean end in the middle of a body without length would make it complete.
                place.crash()
                await place.start(self.nursery)

    async def _drop_idle(self) -> None:
        targets = [place.target for place in self._pick_places()]
        for target in targets:
            target.max_idle_s = IDLE_DROP_S
        await trio.sleep(self.random.uniform(*FAULT_RANGE_S))
        for target in targets:
            target.max_idle_s = inf

    async def _change_config(self) -> None:
        """Write a configuration with other routes, timeouts and rates."""
        self.version += self.random.randint(1, 5)
        routes = [evolve(route, timeout=self.random.choice(("4s", "6s", "8s"))) for route in ROUTES]
        if self.random.random() < 0.5:
            routes.append(ADDED_ROUTE)
        rate_per_s = self.random.choice((LIMITED_RATE_PER_S, LIMITED_RATE_PER_S / 4))
        workspaces = build_workspaces(rate_per_s)
        self.config = build_config(f"{self.version:08x}", routes, workspaces)
        self.api.put_spec("config", "main", self.config)

    async def _roll_out(self) -> None:
        """Restart some targets of a service with a new version, and order its roll-out."""
        service = self.random.choice(sorted(SERVICE_SHARES))
        places = [place for place in self._pick_places() if place.service == service]
        version = f"v{self.random.randrange(2, 1_000)}"
        for place in places:
            place.crash()
            self.forget_later(place.target.name, 0.0)
            await place.start(self.nursery, version=version)
        order = {"service": service, "target_version": version, "duration": "8s"}
        self.api.put_spec("rollouts", service, order)

    async def _stop_store(self) -> None:
        self.api.error_status = 503
        await trio.sleep(self.random.uniform(*FAULT_RANGE_S))
        self.api.error_status = None

    async def _slow_store(self) -> None:
        duration_s = self.random.uniform(*FAULT_RANGE_S)
        await hold_fault(self.store_link, duration_s, delay_ms=SLOW_STORE_DELAY_MS)

    async def _silent_store(self) -> None:
        await hold_fault(self.store_link, self.random.uniform(*FAULT_RANGE_S), frozen=True)

    async def _lose_region(self) -> None:
        """Kill all VMs and targets of a region; they come back one after the other."""
        region = self.random.choice(sorted(set(ZONES.values())))
        places = [place for place in self.places if ZONES[place.zone] == region and place.running]
        async with trio.open_nursery() as nursery:
            for vm in self.vms:
                if ZONES[vm.zone] == region:
                    nursery.start_soon(vm.kill_and_restart)
            nursery.start_soon(self._crash_and_return, places, REGION_DOWN_S)


def build_workspaces(limited_rate_per_s: float = LIMITED_RATE_PER_S) -> list[SoakWorkspace]:
    """Return the workspaces of a site, some of which have a rate."""
    return [
        SoakWorkspace(f"w{number}", f"key-{number}", 0.0 if number % 4 else limited_rate_per_s)
        for number in range(WORKSPACE_COUNT)
    ]


def assign_services(count: int) -> list[str]:
    """Return the service of each target, at least one for every service."""
    counts = {service: max(1, round(share * count)) for service, share in SERVICE_SHARES.items()}
    return [service for service, number in counts.items() for _ in range(number)]
