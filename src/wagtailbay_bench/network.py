"""Connect the processes of a deployment through link stand-ins and inject link faults."""

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
    """Fault on some links; the effects of several faults on one link add up.

    Attributes:
        cut: Whether the links refuse connections and close existing ones.
        frozen: Whether the links accept connections but forward no data.
        delay_ms: Additional delay in each direction.
    """

    links: frozenset[DirectedLink]
    cut: bool = False
    frozen: bool = False
    delay_ms: float = 0.0


@define
class Network:
    """Links between endpoints: VMs, targets, administration APIs and the platform.

    Attributes:
        regions: Region of each availability zone.
        zones: Availability zone of each endpoint.
        routes: Address to which the source of each link connects.
        listen_addresses: Address on which the destination of each link listens.
        link_faults: Faults that are active now.
        control_address: Address of the link stand-in's control API.
        update_lock: Serializes updates, so that an older link state never overwrites a newer one.
    """

    regions: Mapping[str, str]
    zones: dict[str, str]
    routes: dict[DirectedLink, str] = field(factory=dict)
    listen_addresses: dict[DirectedLink, str] = field(factory=dict)
    link_faults: list[LinkFault] = field(factory=list)
    control_address: str = ""
    update_lock: trio.Lock = field(factory=trio.Lock)

    def add_link(self, source: str, destination: str, address: str) -> str:
        """Add a link and return the address to which its source connects."""
        number = len(self.routes)
        # Each link has its own host because a free port is not reserved until the link listens.
        self.routes[source, destination] = free_address(f"127.4.{number // 250}.{number % 250 + 1}")
        self.listen_addresses[source, destination] = address
        return self.routes[source, destination]

    async def start(self, group: ProcessGroup) -> None:
        """Start the link stand-in and set the delays between the zones of the endpoints."""
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
        """Return the region of an endpoint."""
        return self.regions[self.zones[endpoint]]

    def endpoints_in(self, region: str) -> set[str]:
        """Return the endpoints in a region."""
        return {endpoint for endpoint in self.zones if self.region_of(endpoint) == region}

    def links_between(
        self, first: Collection[str], second: Collection[str]
    ) -> frozenset[DirectedLink]:
        """Return the links between two groups of endpoints in both directions."""
        return frozenset(
            (a, b)
            for a, b in self.routes
            if (a in first and b in second) or (a in second and b in first)
        )

    @asynccontextmanager
    async def inject_fault(self, fault: LinkFault) -> AsyncIterator[None]:
        """Inject a fault for the duration of the context."""
        self.link_faults.append(fault)
        await self._push_states(fault.links)
        try:
            yield
        finally:
            self.link_faults.remove(fault)
            await self._push_states(fault.links)

    def is_open(self, link: DirectedLink) -> bool:
        """Return whether a link is neither cut nor frozen."""
        return not any(
            link in fault.links and (fault.cut or fault.frozen) for fault in self.link_faults
        )

    def delay_ms(self, link: DirectedLink) -> float:
        """Return the delay of a link in one direction, including that of active faults."""
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
            raise RuntimeError(f"the link stand-in rejected the link states: {answer}")
