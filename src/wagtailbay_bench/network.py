"""Put links between the processes of a deployment and disturb them."""

import json
from collections.abc import AsyncIterator, Collection, Mapping
from contextlib import asynccontextmanager
from typing import Final

import trio
from attrs import define, field, frozen

from wagtailbay.transport import Request, fetch
from wagtailbay_bench.processes import ProcessGroup, free_address

CROSS_ZONE_DELAY_MS: Final = 1.0
CROSS_REGION_DELAY_MS: Final = 35.0
CONTROL_TIMEOUT_MS: Final = 5_000
PLATFORM: Final = "platform"

DirectedLink = tuple[str, str]


@frozen
class LinkFault:
    """Describe what happens on some ways; several disturbances of one way add up."""

    links: frozenset[DirectedLink]
    cut: bool = False
    frozen: bool = False
    delay_ms: float = 0.0


@define
class Network:
    """Hold the links between ends: VMs, targets, administration APIs and the platform.

    Attributes:
        regions: The region of each availability zone.
        zones: The availability zone of each end.
        routes: Where the first end of each way connects to reach the second.
        addresses: Where the second end of each way listens.
    """

    regions: Mapping[str, str]
    zones: dict[str, str]
    routes: dict[DirectedLink, str] = field(factory=dict)
    listen_addresses: dict[DirectedLink, str] = field(factory=dict)
    link_faults: list[LinkFault] = field(factory=list)
    control_address: str = ""
    update_lock: trio.Lock = field(factory=trio.Lock)

    def add_link(self, source: str, destination: str, address: str) -> str:
        """Add the way from one end to another and return where the source connects."""
        number = len(self.routes)
        # A host for each link, since a free port is only reserved once the link listens.
        self.routes[source, destination] = free_address(f"127.4.{number // 250}.{number % 250 + 1}")
        self.listen_addresses[source, destination] = address
        return self.routes[source, destination]

    async def start(self, group: ProcessGroup) -> None:
        """Start the link stand-in with the delays between the ends' zones."""
        self.control_address = free_address("127.0.0.4")
        link_specs = (
            f"{a}>{b}={self.routes[a, b]}@{self.listen_addresses[a, b]}" for a, b in self.routes
        )
        process = group.start(
            "links",
            "wagtailbay_standins.link",
            [f"--links={','.join(link_specs)}", f"--control-address={self.control_address}"],
        )
        await process.wait_for_event("all_listening")
        await self._push_states(self.routes)

    def region_of(self, endpoint: str) -> str:
        """Return the region of an end."""
        return self.regions[self.zones[endpoint]]

    def endpoints_in(self, region: str) -> set[str]:
        """Return the ends in a region."""
        return {endpoint for endpoint in self.zones if self.region_of(endpoint) == region}

    def links_between(
        self, first: Collection[str], second: Collection[str]
    ) -> frozenset[DirectedLink]:
        """Return the ways between two groups of ends, in both directions."""
        return frozenset(
            (a, b)
            for a, b in self.routes
            if (a in first and b in second) or (a in second and b in first)
        )

    @asynccontextmanager
    async def inject_fault(self, fault: LinkFault) -> AsyncIterator[None]:
        """Disturb some ways for as long as the context lasts."""
        self.link_faults.append(fault)
        await self._push_states(fault.links)
        try:
            yield
        finally:
            self.link_faults.remove(fault)
            await self._push_states(fault.links)

    def is_open(self, link: DirectedLink) -> bool:
        """Tell whether anything passes on a way."""
        return not any(
            link in fault.links and (fault.cut or fault.frozen) for fault in self.link_faults
        )

    def delay_ms(self, link: DirectedLink) -> float:
        """Return the delay of a way in one direction."""
        source, destination = link
        distance_ms = 0.0
        if self.zones[source] != self.zones[destination]:
            same_region = self.region_of(source) == self.region_of(destination)
            distance_ms = CROSS_ZONE_DELAY_MS if same_region else CROSS_REGION_DELAY_MS
        return distance_ms + sum(
            fault.delay_ms for fault in self.link_faults if link in fault.links
        )

    def _link_state(self, link: DirectedLink) -> dict[str, float | bool]:
        active_faults = [fault for fault in self.link_faults if link in fault.links]
        return {
            "cut": any(fault.cut for fault in active_faults),
            "frozen": any(fault.frozen for fault in active_faults),
            "delay_ms": self.delay_ms(link),
        }

    async def _push_states(self, links: Collection[DirectedLink]) -> None:
        async with self.update_lock:
            states = {f"{a}>{b}": self._link_state((a, b)) for a, b in links}
            request = Request("PUT", "/standin/links", (), json.dumps(states).encode())
            answer = await fetch(self.control_address, request, CONTROL_TIMEOUT_MS)
        if answer.is_err() or answer.ok_value.status != 200:
            raise RuntimeError(f"the links cannot be changed: {answer}")
