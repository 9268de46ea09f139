"""Serve callers through whole gateways, against stand-ins on loopback."""

import json
import random
import socket

import pytest
import trio
from result import Ok
from support.gateway import PlatformTarget, config_spec, server_fields

from wagtailbay.gateway.lag import LoopLag
from wagtailbay.programs.fleet import Fleet
from wagtailbay.programs.gateway import stop_gracefully
from wagtailbay.programs.gateway_build import GatewayBuilder
from wagtailbay.programs.gateway_node import GatewayNode, build_fronts
from wagtailbay.programs.gateway_settings import GatewaySettings
from wagtailbay.transport import ConnectionPool, HttpServer, Request, Response
from wagtailbay_standins.objects import ObjectApi

WAIT_S = 60


def free_address() -> str:
    """Return a loopback address that is free now."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{found.getsockname()[1]}"


def settings_for(store_address: str, peer_address: str) -> GatewaySettings:
    """Return the settings of a gateway that serves on a free port."""
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


class Scene:
    """Run one gateway with a store and two targets."""

    def __init__(self) -> None:
        self.api = ObjectApi()
        self.targets = {name: PlatformTarget(name) for name in ("t1", "t2")}
        self.pool = ConnectionPool()
        self.node: GatewayNode | None = None
        self.address = ""

    async def start(self, nursery: trio.Nursery, **config) -> None:
        """Start all parts; returns when the gateway takes callers."""
        store_address = await nursery.start(self.api.serve)
        for name, target in self.targets.items():
            host, port = await nursery.start(target.serve)
            self.api.put_fields("servers", name, server_fields(f"{host}:{port}"))
        routes = config_spec()["routes"]
        routes[0] |= {"weighted_services": [], "service": "records", "home_regions": []}
        for route in routes:
            route["timeout"] = "20s"
        self.api.put_spec("config", "main", config_spec(routes=routes, **config))
        builder = GatewayBuilder(settings_for(store_address, free_address()), random.Random(3))
        self.node = node = builder.build()
        await node.run_tasks(nursery)
        # The machine that runs the tests may be slow; what a late VM does has a test of its own.
        node.handler.lag = LoopLag()
        await nursery.start(node.fleet.run, node.settings.peer_address)
        host, port = await nursery.start(node.server.serve, ("127.0.0.1", 0))
        self.address = f"{host}:{port}"
        with trio.fail_after(WAIT_S):
            await node.become_live()
            while len(node.registry.targets) < len(self.targets):
                await trio.sleep(0.02)

    async def ask(self, path: str = "/a/x", method: str = "GET", **headers: str) -> Response:
        """Send a request of workspace unam."""
        fields = {
            "Request-Id": "id-1",
            "Deadline-Ms": "20000",
            "Cookie": "Affinity-Key=17",
            "Authorization": "Token key-1",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        request = Request(method, path, tuple(fields.items()), host="h.example")
        answer = await self.pool.fetch(self.address, request, 30_000)
        assert isinstance(answer, Ok)
        return answer.ok_value

    def ran(self) -> list[Request]:
        """Return the requests that targets got."""
        return [request for target in self.targets.values() for request in target.requests]


@pytest.fixture
async def scene(nursery):
    """Return a scene that runs for one test."""
    started = Scene()
    await started.start(nursery)
    return started


def header(response: Response, name: str) -> str | None:
    """Return a header of a response."""
    return next((value for key, value in response.headers if key.lower() == name.lower()), None)


class TestGatewayPath:
    """Serve requests from end to end."""

    async def test_request_reaches_a_target_as_the_platform_wants(self, scene):
        """Guards against a key that a target sees, and against a changed request."""
        answer = await scene.ask("/a/x?y=1", Tenant="forged", X_Extra="kept")
        (request,) = scene.ran()
        assert answer.status == 200
        assert header(answer, "Response-Seal").startswith("seal-")
        assert request.path == "/a/x?y=1"
        assert request.header("Host") == "h.example"
        assert request.header("Authorization") is None
        assert [v for n, v in request.headers if n.lower() == "tenant"] == ["unam"]
        assert request.header("X-Extra") == "kept"
        assert request.header("Expect-Instance") in scene.targets
        assert 0 < int(request.header("Deadline-Ms")) <= 20_000

    async def test_unknown_key_and_route_are_denied(self, scene):
        """Guards against a request that runs without a key, or on no route."""
        assert (await scene.ask(Authorization="Token nobody")).status == 401
        assert (await scene.ask("/c/x")).status == 404
        assert scene.ran() == []

    async def test_withdrawn_key_stops_working(self, scene):
        """Guards against a key that goes on working after it was withdrawn."""
        spec = config_spec(version="00000009")
        spec["tenants"][0]["api_keys"] = ["key-2"]
        scene.api.put_spec("config", "main", spec)
        with trio.fail_after(WAIT_S):
            while (await scene.ask()).status != 401:
                await trio.sleep(0.05)

    async def test_failure_of_one_target_is_answered_by_the_other(self, scene):
        """Guards against failures of one target that reach callers of idempotent routes."""
        scene.targets["t1"].status = 500
        answers = [await scene.ask(Cookie=f"Affinity-Key={n}") for n in range(6)]
        assert {answer.status for answer in answers} == {200}

    async def test_non_idempotent_request_is_sent_once_after_it_may_have_run(self, scene):
        """Guards against a deposit that runs twice."""
        for target in scene.targets.values():
            target.status = 500
        answer = await scene.ask("/b/x", "POST")
        assert answer.status == 500
        assert len(scene.ran()) == 1

    async def test_refusal_of_a_target_is_tried_elsewhere_and_then_told(self, scene):
        """Guards against a refusal that says not run although it may have run."""
        for target in scene.targets.values():
            target.status, target.not_run = 503, True
        answer = await scene.ask("/b/x", "POST")
        assert answer.status == 503
        assert float(header(answer, "Retry-After")) > 0
        assert len(scene.ran()) == 2
        assert json.loads(answer.body)["error"]["run"] == "not_run"

    async def test_draining_target_gets_nothing(self, scene):
        """Guards against new work for a target that leaves."""
        known = scene.api.table.objects["servers/t1"][1]
        fields = {"status": known["status"] | {"state": "draining"}}
        scene.api.put_fields("servers", "t1", fields)
        with trio.fail_after(WAIT_S):
            while not scene.node.registry.targets["t1"].entry.draining:
                await trio.sleep(0.02)
        for number in range(8):
            await scene.ask(Cookie=f"Affinity-Key={number}")
        assert scene.targets["t1"].requests == []

    async def test_flood_gets_429_with_a_time_to_come_back(self, scene):
        """Guards against a workspace above its rate."""
        answers = [await scene.ask() for _ in range(130)]
        refused = [answer for answer in answers if answer.status == 429]
        assert refused
        assert all(float(header(a, "Retry-After")) > 0 for a in refused)


class TestLateVm:
    """Refuse what a VM reads too late."""

    async def test_late_vm_refuses_at_once_until_it_is_in_time(self, scene):
        """Guards against requests that wait for an answer that cannot come in good time."""
        scene.node.handler.lag.note(0.5)
        answer = await scene.ask()
        assert answer.status == 503
        assert json.loads(answer.body)["error"]["code"] == "vm_overloaded"
        scene.node.handler.lag.note(0.0)
        assert (await scene.ask()).status == 200


class TestPlannedStop:
    """End without cutting a request."""

    async def test_request_that_comes_while_the_end_is_told_is_answered(
        self, scene, nursery, monkeypatch
    ):
        """Guards against a request of the last connection that is cut by the end (LOST)."""
        answers, asked = [], trio.Event()
        for target in scene.targets.values():
            target.delay_s = 0.3

        async def ask() -> None:
            answers.append(await scene.ask())

        async def announce_left(fleet) -> None:
            nursery.start_soon(ask)
            while not scene.ran():
                await trio.sleep(0.01)
            asked.set()

        async def announce_leaving(fleet) -> None:
            pass

        monkeypatch.setattr(Fleet, "announce_left", announce_left)
        monkeypatch.setattr(Fleet, "announce_leaving", announce_leaving)
        await stop_gracefully(scene.node, trio.CancelScope())
        assert asked.is_set()
        assert scene.node.server.open_requests == 0
        with trio.fail_after(WAIT_S):
            while not answers:
                await trio.sleep(0.01)
        assert answers[0].status == 200


class TestFronts:
    """Answer look-ups and readiness."""

    async def test_lookup_names_the_vm_and_ready_follows_its_state(self, scene, nursery):
        """Guards against callers that are sent to a VM that is not ready."""
        lookup, ready = build_fronts(scene.node)
        host, port = await nursery.start(HttpServer(lookup.handle).serve, ("127.0.0.1", 0))
        request = Request("GET", "/resolve?name=h.example&region=north&zone=z1")
        answer = (await scene.pool.fetch(f"{host}:{port}", request, 30_000)).ok_value
        assert json.loads(answer.body) == {"addresses": ["127.0.0.1:0"], "ttl": "2000ms"}
        host, port = await nursery.start(HttpServer(ready.handle).serve, ("127.0.0.1", 0))
        asked = Request("GET", "/ready")
        assert (await scene.pool.fetch(f"{host}:{port}", asked, 30_000)).ok_value.status == 200
        await scene.node.fleet.announce_leaving()
        assert (await scene.pool.fetch(f"{host}:{port}", asked, 30_000)).ok_value.status == 503


class TestCrashingRequest:
    """A request that ends each target that runs it comes again and again."""

    async def test_it_reaches_few_targets_and_its_neighbours_are_served(self, scene: Scene) -> None:
        """Guards against a request that ends one target after another."""

        async def has_ended(address: str) -> bool:
            return True

        scene.node.handler.forwarder.has_ended = has_ended
        for _ in range(6):
            answer = await scene.ask("/a/crash")
            assert answer.status in (502, 503)
            await trio.sleep(0.05)
        # Two crashes are enough to refuse it; a request that was under way may add one.
        assert len(scene.ran()) <= 3
        assert answer.status == 503
        assert float(header(answer, "Retry-After")) >= 5
        scene.node.registry.targets["t1"].cold_until_s = float("-inf")
        for belief in scene.node.selector.loads.values():
            belief.ejected_until_s = float("-inf")
        assert (await scene.ask("/a/other")).status == 200
