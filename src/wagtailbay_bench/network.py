"""Put links between the processes of a deployment and disturb them."""

import json
from collections.abc import AsyncIterator, Collection, Mapping
from contextlib import asynccontextmanager
from typing import Final

import trio
from attrs import define, field, frozen

from wagtailbay.transport import Request, fetch
from wagtailbay_bench.processes import ProcessGroup, free_address

ZONE_DELAY_MS: Final = 1.0
REGION_DELAY_MS: Final = 35.0
CONTROL_TIMEOUT_MS: Final = 5_000
PLATFORM: Final = "platform"

Way = tuple[str, str]


@frozen
class Disturbance:
    """Describe what happens on some ways; several disturbances of one way add up."""

    ways: frozenset[Way]
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
    routes: dict[Way, str] = field(factory=dict)
    addresses: dict[Way, str] = field(factory=dict)
    disturbances: list[Disturbance] = field(factory=list)
    control_address: str = ""
    changing: trio.Lock = field(factory=trio.Lock)

    def add(self, source: str, sink: str, address: str) -> str:
        """Add the way from one end to another and return where the source connects."""
        number = len(self.routes)
        # A host for each link, since a free port is only reserved once the link listens.
        self.routes[source, sink] = free_address(f"127.4.{number // 250}.{number % 250 + 1}")
        self.addresses[source, sink] = address
        return self.routes[source, sink]

    async def start(self, group: ProcessGroup) -> None:
        """Start the link stand-in with the delays between the ends' zones."""
        self.control_address = free_address("127.0.0.4")
        links = (f"{a}>{b}={self.routes[a, b]}@{self.addresses[a, b]}" for a, b in self.routes)
        process = group.start(
            "links",
            "wagtailbay_standins.link",
            [f"--links={','.join(links)}", f"--control-address={self.control_address}"],
        )
        await process.wait_for_event("all_listening")
        await self._apply(self.routes)

    def region(self, end: str) -> str:
        """Return the region of an end."""
        return self.regions[self.zones[end]]

    def ends_in(self, region: str) -> set[str]:
        """Return the ends in a region."""
        return {end for end in self.zones if self.region(end) == region}

    def between(self, some: Collection[str], others: Collection[str]) -> frozenset[Way]:
        """Return the ways between two groups of ends, in both directions."""
        return frozenset(
            (a, b)
            for a, b in self.routes
            if (a in some and b in others) or (a in others and b in some)
        )

    @asynccontextmanager
    async def disturbed(self, disturbance: Disturbance) -> AsyncIterator[None]:
        """Disturb some ways for as long as the context lasts."""
        self.disturbances.append(disturbance)
        await self._apply(disturbance.ways)
        try:
            yield
        finally:
            self.disturbances.remove(disturbance)
            await self._apply(disturbance.ways)

    def is_open(self, way: Way) -> bool:
        """Tell whether anything passes on a way."""
        return not any(way in d.ways and (d.cut or d.frozen) for d in self.disturbances)

    def delay_ms(self, way: Way) -> float:
        """Return the delay of a way in one direction."""
        source, sink = way
        distance_ms = 0.0
        if self.zones[source] != self.zones[sink]:
            same = self.region(source) == self.region(sink)
            distance_ms = ZONE_DELAY_MS if same else REGION_DELAY_MS
        return distance_ms + sum(d.delay_ms for d in self.disturbances if way in d.ways)

    def _state(self, way: Way) -> dict[str, float | bool]:
        present = [d for d in self.disturbances if way in d.ways]
        return {
            "cut": any(d.cut for d in present),
            "frozen": any(d.frozen for d in present),
            "delay_ms": self.delay_ms(way),
        }

    async def _apply(self, ways: Collection[Way]) -> None:
        async with self.changing:
            states = {f"{a}>{b}": self._state((a, b)) for a, b in ways}
            request = Request("PUT", "/standin/links", (), json.dumps(states).encode())
            answer = await fetch(self.control_address, request, CONTROL_TIMEOUT_MS)
        if answer.is_err() or answer.ok_value.status != 200:
            raise RuntimeError(f"the links cannot be changed: {answer}")
