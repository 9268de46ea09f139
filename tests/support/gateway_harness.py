"""Gateway in the test process, with a stand-in store and fake targets on loopback."""

import random
import socket
from collections.abc import Mapping
from typing import Any

import trio
from result import Ok

from support.gateway import PlatformTarget, config_spec, server_fields
from support.raw_target import RawTarget, Script
from wagtailbay.clock import boottime_s
from wagtailbay.gateway.lag import LoopLag
from wagtailbay.programs.gateway_builder import GatewayBuilder
from wagtailbay.programs.gateway_node import GatewayNode
from wagtailbay.programs.gateway_settings import GatewaySettings
from wagtailbay.transport import Request, Response
from wagtailbay_bench.caller_pool import CallerPool
from wagtailbay_standins.objects import ObjectApiStandin

WAIT_S = 60


def free_address() -> str:
    """Return a currently unused loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def build_settings(store_address: str, peer_address: str) -> GatewaySettings:
    """Return the settings of a gateway that listens on free ports."""
    return GatewaySettings(
        vm="127.0.0.1",
        availability_zone="z1",
        zones={"z1": "north", "z3": "south"},
        listen_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        lookup_address="127.0.0.1:0",
        peer_address=peer_address,
        platform_address=store_address,
    )


class GatewayHarness:
    """Runs one gateway with a store and two targets, or the given ones."""

    def __init__(self, targets: Mapping[str, Any] | None = None) -> None:
        self.api = ObjectApiStandin()
        self.targets = targets or {name: PlatformTarget(name) for name in ("t1", "t2")}
        self.pool = CallerPool()
        self.node: GatewayNode | None = None
        self.address = ""

    async def start(self, nursery: trio.Nursery, **config) -> None:
        """Start the store, targets and gateway; return when the gateway is live."""
        store_address = await nursery.start(self.api.serve)
        for name, target in self.targets.items():
            host, port = await nursery.start(target.serve)
            self.api.put_fields("servers", name, server_fields(f"{host}:{port}"))
        routes = config_spec()["routes"]
        routes[0] |= {"weighted_services": [], "service": "records", "home_regions": []}
        for route in routes:
            route["timeout"] = "20s"
        self.api.put_spec("config", "main", config_spec(routes=routes, **config))
        builder = GatewayBuilder(build_settings(store_address, free_address()), random.Random(3))
        self.node = node = builder.build()
        await node.run_tasks(nursery)
        # Keep the lag at 0, since the test machine may be slow; TestOverloadedVm covers lag.
        node.handler.loop_lag = LoopLag()
        await nursery.start(node.fleet.run, node.settings.peer_address)
        host, port = await nursery.start(node.server.serve, ("127.0.0.1", 0))
        self.address = f"{host}:{port}"
        with trio.fail_after(WAIT_S):
            await node.become_live()
            while len(node.registry.targets) < len(self.targets):
                await trio.sleep(0.02)
        # As if the gateway had been running for long enough to collect the whole burst.
        node.quota.update_ownership(boottime_s())
        for bucket in node.quota.bank.buckets.values():
            bucket.level = bucket.capacity

    async def send_request(
        self, path: str = "/a/x", method: str = "GET", **headers: str
    ) -> Response:
        """Send a request of workspace unam and return the response."""
        fields = {
            "Request-Id": "id-1",
            "Deadline-Ms": "20000",
            "Cookie": "Affinity-Key=17",
            "Authorization": "Token key-1",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        request = Request(method, path, tuple(fields.items()), host="h.example")
        response = await self.pool.fetch(self.address, request, 30_000)
        assert isinstance(response, Ok)
        return response.ok_value

    def received_requests(self) -> list[Request]:
        """Return the requests received by all targets."""
        return [request for target in self.targets.values() for request in target.requests]


async def start_raw_harness(nursery: trio.Nursery, *scripts: Script) -> GatewayHarness:
    """Return a running gateway with raw targets t1, t2 and so on that run the given scripts."""
    targets = {f"t{number}": RawTarget(script) for number, script in enumerate(scripts, start=1)}
    harness = GatewayHarness(targets)
    await harness.start(nursery)
    return harness


def get_header(response: Response, name: str) -> str | None:
    """Return the first value of a response header, None if it is missing."""
    return next((value for key, value in response.headers if key.lower() == name.lower()), None)
