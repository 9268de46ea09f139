"""End-to-end tests of a gateway, with a stand-in store and targets on loopback."""

import json

import pytest
import trio
from result import Err
from support.gateway import config_spec
from support.gateway_harness import WAIT_S, GatewayHarness, get_header

from wagtailbay.programs.fleet import Fleet
from wagtailbay.programs.gateway_node import STALE_START_DELAY_S, build_endpoints
from wagtailbay.programs.gateway_process import shut_down_gracefully
from wagtailbay.settings.checks import split_address
from wagtailbay.transport import FailureKind, HttpServer, Request
from wagtailbay_bench.caller_pool import CallerPool


@pytest.fixture
async def harness(nursery):
    """Return a gateway harness that runs for one test."""
    started = GatewayHarness()
    await started.start(nursery)
    return started


class TestGatewayPath:
    """Requests pass through the gateway to targets, or are refused."""

    async def test_target_receives_platform_headers(self, harness):
        """Guards against forwarding keys or forged tenants, and against altered requests."""
        response = await harness.send_request("/a/x?y=1", Tenant="forged", X_Extra="kept")
        (request,) = harness.received_requests()
        assert response.status == 200
        assert get_header(response, "Response-Seal").startswith("seal-")
        assert request.path == "/a/x?y=1"
        assert request.header("Host") == "h.example"
        assert request.header("Authorization") is None
        assert [v for n, v in request.headers if n.lower() == "tenant"] == ["unam"]
        assert request.header("X-Extra") == "kept"
        assert request.header("Expect-Instance") in harness.targets
        assert 0 < int(request.header("Deadline-Ms")) <= 20_000

    async def test_unknown_key_and_route_are_denied(self, harness):
        """Guards against forwarding a request with an unknown key or without a route."""
        assert (await harness.send_request(Authorization="Token nobody")).status == 401
        assert (await harness.send_request("/c/x")).status == 404
        assert harness.received_requests() == []

    async def test_withdrawn_key_stops_working(self, harness):
        """Guards against a key that is still accepted after its removal from the configuration."""
        spec = config_spec(version="00000009")
        spec["tenants"][0]["api_keys"] = ["key-2"]
        harness.api.put_spec("config", "main", spec)
        with trio.fail_after(WAIT_S):
            while (await harness.send_request()).status != 401:
                await trio.sleep(0.05)

    async def test_idempotent_request_fails_over(self, harness):
        """Guards against returning a target's failure although another target could succeed."""
        harness.targets["t1"].status = 500
        responses = [await harness.send_request(Cookie=f"Affinity-Key={n}") for n in range(6)]
        assert {response.status for response in responses} == {200}

    async def test_non_idempotent_request_that_may_have_run_is_not_retried(self, harness):
        """Guards against running a non-idempotent request twice."""
        for target in harness.targets.values():
            target.status = 500
        response = await harness.send_request("/b/x", "POST")
        assert response.status == 500
        assert len(harness.received_requests()) == 1

    async def test_shed_request_is_retried_then_refused_as_not_run(self, harness):
        """Guards against a wrong run state, or no retry, if all targets shed the request."""
        for target in harness.targets.values():
            target.status, target.not_run = 503, True
        response = await harness.send_request("/b/x", "POST")
        assert response.status == 503
        assert float(get_header(response, "Retry-After")) > 0
        assert len(harness.received_requests()) == 2
        assert json.loads(response.body)["error"]["run"] == "not_run"

    async def test_draining_target_receives_no_requests(self, harness):
        """Guards against sending new requests to a target that is draining."""
        server = harness.api.table.objects["servers/t1"][1]
        fields = {"status": server["status"] | {"state": "draining"}}
        harness.api.put_fields("servers", "t1", fields)
        with trio.fail_after(WAIT_S):
            while not harness.node.registry.targets["t1"].entry.draining:
                await trio.sleep(0.02)
        for number in range(8):
            await harness.send_request(Cookie=f"Affinity-Key={number}")
        assert harness.targets["t1"].requests == []

    async def test_requests_above_rate_get_429_with_retry_after(self, harness):
        """Guards against serving a workspace above its rate, or refusing without Retry-After."""
        responses = [await harness.send_request() for _ in range(130)]
        refused = [response for response in responses if response.status == 429]
        assert refused
        assert all(float(get_header(a, "Retry-After")) > 0 for a in refused)


class TestOverloadedVm:
    """A VM with a lagging event loop refuses requests."""

    async def test_lagging_vm_refuses_requests_until_lag_subsides(self, harness):
        """Guards against accepting requests that the VM cannot serve within their latency goal."""
        harness.node.handler.loop_lag.record(0.5)
        response = await harness.send_request()
        assert response.status == 503
        assert json.loads(response.body)["error"]["code"] == "vm_overloaded"
        harness.node.handler.loop_lag.record(0.0)
        assert (await harness.send_request()).status == 200


class TestGracefulShutdown:
    """A graceful shutdown completes the requests that have arrived."""

    @pytest.fixture(autouse=True)
    def without_announcements(self, monkeypatch):
        """Replace the announcements to other VMs, of which these tests have none."""

        async def announce(fleet) -> None:
            await trio.lowlevel.checkpoint()

        monkeypatch.setattr(Fleet, "announce_leaving", announce)
        monkeypatch.setattr(Fleet, "announce_left", announce)

    async def test_request_in_flight_is_served(self, harness, nursery):
        """Guards against cutting a request that a target is still working on."""
        responses = []
        for target in harness.targets.values():
            target.delay_s = 4.0

        async def send_request() -> None:
            responses.append(await harness.send_request())

        nursery.start_soon(send_request)
        with trio.fail_after(WAIT_S):
            while not harness.received_requests():
                await trio.sleep(0.01)
        await shut_down_gracefully(harness.node)
        assert (harness.node.server.open_requests, harness.node.server.connections) == (0, 0)
        with trio.fail_after(WAIT_S):
            while not responses:
                await trio.sleep(0.01)
        assert responses[0].status == 200

    async def test_request_that_is_complete_late_is_refused(self, harness, nursery):
        """Guards against passing a request on that the end of the grace time cuts (issue 28)."""
        for target in harness.targets.values():
            target.delay_s = 5.0
        stream = await trio.open_tcp_stream(*split_address(harness.address))
        head = (
            "POST /b/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\n"
            "Authorization: Token key-1\r\nContent-Length: 6\r\n\r\n"
        )
        await stream.send_all(head.encode())
        await trio.sleep(0.1)
        nursery.start_soon(shut_down_gracefully, harness.node)
        with trio.fail_after(WAIT_S):
            while not harness.node.server.accept_scope.cancel_called:
                await trio.sleep(0.01)
            await trio.sleep(0.05)
            await stream.send_all(b"thesis")
            response = await stream.receive_some(65_536)
        assert b" 503 " in response
        assert b'"code": "vm_stopping"' in response
        assert harness.received_requests() == []

    async def test_requests_under_load_are_served_or_not_read(self, harness, nursery):
        """Guards against requests that are accepted while the VM stops, and then cut off."""
        outcomes = []
        stopped = trio.Event()

        async def send_requests(number: int) -> None:
            pool = CallerPool()
            while not stopped.is_set():
                headers = (("Request-Id", f"c{number}"), ("Authorization", "Token key-1"))
                request = Request("GET", f"/b/{number}", headers, host="h.example")
                outcomes.append(await pool.fetch(harness.address, request, 30_000))
                await trio.sleep(0.005)

        for target in harness.targets.values():
            target.delay_s = 0.05
        for number in range(8):
            nursery.start_soon(send_requests, number)
        await trio.sleep(0.2)
        await shut_down_gracefully(harness.node)
        stopped.set()
        errors = [outcome.err_value for outcome in outcomes if isinstance(outcome, Err)]
        assert {error.kind for error in errors} <= {FailureKind.CONNECT}
        assert len(outcomes) > len(errors)


class TestLookupAndReadiness:
    """The lookup and readiness endpoints reflect the state of the VM."""

    async def test_lookup_returns_vm_and_readiness_follows_state(self, harness, nursery):
        """Guards against directing callers to a VM that is not ready."""
        lookup_endpoint, readiness_endpoint = build_endpoints(harness.node)
        host, port = await nursery.start(HttpServer(lookup_endpoint.handle).serve, ("127.0.0.1", 0))
        request = Request("GET", "/resolve?name=h.example&region=north&zone=z1")
        response = (await harness.pool.fetch(f"{host}:{port}", request, 30_000)).ok_value
        assert json.loads(response.body) == {"addresses": ["127.0.0.1:0"], "ttl": "2000ms"}
        host, port = await nursery.start(
            HttpServer(readiness_endpoint.handle).serve, ("127.0.0.1", 0)
        )
        ready_request = Request("GET", "/ready")
        assert (
            await harness.pool.fetch(f"{host}:{port}", ready_request, 30_000)
        ).ok_value.status == 200
        await harness.node.fleet.announce_leaving()
        assert (
            await harness.pool.fetch(f"{host}:{port}", ready_request, 30_000)
        ).ok_value.status == 503


class TestCrashingRequest:
    """A request that crashes every target that runs it is quarantined."""

    async def test_crashing_request_is_refused_and_others_are_served(
        self, harness: GatewayHarness
    ) -> None:
        """Guards against a repeated request that crashes one target after another."""

        async def has_exited(address: str) -> bool:
            return True

        harness.node.handler.forwarder.has_exited = has_exited
        for _ in range(6):
            response = await harness.send_request("/a/crash")
            assert response.status in (502, 503)
            await trio.sleep(0.05)
        # Quarantine starts at two crashes; a request already in flight may cause a third.
        assert len(harness.received_requests()) <= 3
        assert response.status == 503
        assert float(get_header(response, "Retry-After")) >= 5
        harness.node.registry.targets["t1"].cold_until_s = float("-inf")
        for estimate in harness.node.selector.loads.values():
            estimate.ejected_until_s = float("-inf")
        assert (await harness.send_request("/a/other")).status == 200


class TestStart:
    """A VM becomes ready with a current configuration, or with the newest that its peers have."""

    async def test_old_configuration_is_accepted_after_a_delay_only(self, harness):
        """Guards against a restarted VM that uses a withdrawn key from the first peer it hears."""
        node, now_s = harness.node, harness.node.started_s
        node.fleet.freshness.confirmed_s = now_s - 60
        assert not node.can_become_ready(now_s + STALE_START_DELAY_S / 2)
        assert node.can_become_ready(now_s + STALE_START_DELAY_S)

    async def test_current_configuration_is_accepted_at_once(self, harness):
        """Guards against a VM that stays away longer than needed."""
        node, now_s = harness.node, harness.node.started_s
        node.fleet.freshness.confirmed_s = now_s - 1
        assert node.can_become_ready(now_s)
