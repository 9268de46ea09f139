"""Tests of requests that a caller sends ahead on one connection."""

from math import inf

import pytest
import trio
from attrs import define, field

from wagtailbay.settings.checks import split_address
from wagtailbay.transport import BodyBudget, CallerDisconnectedError, HttpServer, RunAhead
from wagtailbay.transport.const import MAX_HELD_RESPONSE_BYTES, MAX_PIPELINED_PER_CONNECTION

WAIT_S = 30
WORK_S = 0.5
GOAL_S = 0.8


def get(path: str, *fields: str, method: str = "GET") -> bytes:
    """Encode a request without a body."""
    return "\r\n".join([f"{method} /{path} HTTP/1.1", "Host: x", *fields, "", ""]).encode()


@define
class Caller:
    """Connection of a caller that reads one response after another."""

    stream: trio.SocketStream
    received: bytes = b""

    async def send(self, *requests: bytes) -> None:
        """Send requests in one go."""
        await self.stream.send_all(b"".join(requests))

    async def read(self, method: str = "GET") -> tuple[int, str, str]:
        """Read a response with a stated length; return status, lower-case head and body."""
        while b"\r\n\r\n" not in self.received:
            await self._receive()
        head, _, self.received = self.received.partition(b"\r\n\r\n")
        text = head.decode().lower()
        length = int(text.partition("content-length: ")[2].split("\r\n")[0])
        while method != "HEAD" and len(self.received) < length:
            await self._receive()
        size = 0 if method == "HEAD" else length
        body, self.received = self.received[:size], self.received[size:]
        return int(text.split()[1]), text, body.decode()

    async def read_bodies(self, count: int) -> list[str]:
        """Read some responses and return their bodies."""
        with trio.fail_after(WAIT_S):
            return [(await self.read())[2] for _ in range(count)]

    async def read_rest(self) -> bytes:
        """Return everything until the server closes; a reset raises an error."""
        with trio.fail_after(WAIT_S):
            async for data in self.stream:
                self.received += data
        return self.received

    async def _receive(self) -> None:
        data = await self.stream.receive_some(65_536)
        assert data, f"the connection ended after {self.received[-200:]!r}"
        self.received += data


@define(eq=False)
class Service:
    """Handler whose requests end when a test lets them; each is known by its path.

    Attributes:
        begun: Paths of the requests whose handlers have started, in order.
        cancelled: Paths of those that were cancelled.
        gates: Events that requests wait for, by path; others end at once.
    """

    begun: list[str] = field(factory=list)
    cancelled: list[str] = field(factory=list)
    gates: dict[str, trio.Event] = field(factory=dict)
    most_running: int = 0
    server: HttpServer | None = None

    def may_run_ahead(self, request) -> bool:
        """Allow all requests but those to ``/once``."""
        return not request.path.startswith("/once")

    async def handle(self, request, reply) -> None:
        """Respond with the path, and with what else the path says."""
        path = request.path[1:]
        self.begun.append(path)
        self.most_running = max(self.most_running, self.server.open_requests)
        try:
            await self._work(path, reply)
        except trio.Cancelled:
            self.cancelled.append(path)
            raise

    async def _work(self, path: str, reply) -> None:
        if path.startswith("slow"):
            await trio.sleep(WORK_S)
        if path in self.gates:
            await self.gates[path].wait()
        if path == "fault":
            raise ValueError("a fault in the handler")
        if path == "cut":
            await reply.start(200, (("Content-Length", "9"),))
            await reply.send(b"part")
            raise CallerDisconnectedError
        if path.startswith("large"):
            size = int(path.partition("-")[2])
            await reply.start(200, (("Content-Length", str(2 * size)),))
            await reply.send(b"x" * size)
            await reply.send(b"x" * size)
            await reply.finish()
        elif path == "unframed":
            await reply.start(200, (), until_close=True)
            await reply.send(b"unframed")
            await reply.finish()
        else:
            await reply.send_response(200, (), path.encode())

    def hold(self, *paths: str) -> None:
        """Let requests wait for ``gates[path]``."""
        self.gates |= {path: trio.Event() for path in paths}

    async def wait_begun(self, *paths: str) -> None:
        """Wait until exactly the given requests have begun, in any order."""
        with trio.fail_after(WAIT_S):
            while len(self.begun) < len(paths):
                await trio.sleep(0.01)
        await trio.sleep(0.05)
        assert sorted(self.begun) == sorted(paths)


@pytest.fixture
async def service(nursery):
    """Return a running service that lets requests run ahead."""
    service = Service()
    budget = BodyBudget(1_000_000)
    run_ahead = RunAhead(service)
    service.server = HttpServer(service.handle, body_budget=budget, run_ahead=run_ahead)
    return service


@pytest.fixture
async def caller(nursery, service):
    """Return a connection to the service; at its end, nothing must be left of its requests."""
    host, port = await nursery.start(service.server.serve, ("127.0.0.1", 0))
    async with await trio.open_tcp_stream(*split_address(f"{host}:{port}")) as stream:
        yield Caller(stream)
    server = service.server
    with trio.fail_after(WAIT_S):
        while server.connections or server.open_requests or server.run_ahead.running:
            await trio.sleep(0.01)
    assert server.body_budget.held_bytes == 0


class TestConcurrency:
    """Requests that are sent ahead run at the same time."""

    @pytest.mark.parametrize("pause_s", [0.0, 0.02])
    async def test_four_requests_take_the_time_of_one(self, service, caller, pause_s):
        """Guards against requests that run one after another, however their bytes arrive."""
        started_s = trio.current_time()
        for number in range(4):
            await caller.send(get(f"slow-{number}"))
            await trio.sleep(pause_s)
        assert await caller.read_bodies(4) == [f"slow-{number}" for number in range(4)]
        assert trio.current_time() - started_s < GOAL_S

    async def test_responses_keep_the_order_of_the_requests(self, service, caller):
        """Guards against a response that its caller takes for that of another request."""
        service.hold("a", "b", "c")
        await caller.send(get("a"), get("b", method="HEAD"), get("c"))
        await service.wait_begun("a", "b", "c")
        for path in ("c", "b", "a"):
            service.gates[path].set()
            await trio.sleep(0.02)
        assert (await caller.read())[2] == "a"
        assert (await caller.read("HEAD"))[2] == ""
        assert (await caller.read())[2] == "c"

    async def test_requests_split_anywhere_are_read(self, service, caller):
        """Guards against losing bytes that arrive before the rest of their request."""
        service.hold("a")
        for byte in get("a") + get("b", "Content-Length: 0") + get("c"):
            await caller.send(bytes([byte]))
            await trio.sleep(0)
        await service.wait_begun("a", "b", "c")
        await caller.send(get("d")[:20])
        service.gates["a"].set()
        assert await caller.read_bodies(3) == ["a", "b", "c"]
        await caller.send(get("d")[20:])
        assert await caller.read_bodies(1) == ["d"]

    @pytest.mark.parametrize(
        "single",
        [
            get("once"),
            get("post", "Content-Length: 2", method="POST") + b"ok",
            get("body", "Content-Length: 2") + b"ok",
            get("expect", "Content-Length: 2", "Expect: 100-continue") + b"ok",
        ],
    )
    async def test_other_request_runs_alone(self, service, caller, single):
        """Guards against a request that changes something while others run."""
        path = single.split()[1][1:].decode()
        service.hold("a", path)
        await caller.send(get("a"), single, get("c"))
        await service.wait_begun("a")
        service.gates["a"].set()
        await service.wait_begun("a", path)
        service.gates[path].set()
        received = await caller.read_bodies(1)
        if "expect" in path:
            assert (await caller.stream.receive_some(9)) == b"HTTP/1.1 "
            return
        assert received + await caller.read_bodies(2) == ["a", path, "c"]

    async def test_without_a_policy_requests_run_in_turn(self, service, caller):
        """Guards against a change for servers that did not ask for one."""
        run_ahead, service.server.run_ahead = service.server.run_ahead, None
        async with await trio.open_tcp_stream(*caller.stream.socket.getpeername()) as stream:
            caller = Caller(stream)
            service.hold("a")
            await caller.send(get("a"), get("b"))
            await service.wait_begun("a")
            service.gates["a"].set()
            assert await caller.read_bodies(2) == ["a", "b"]
        service.server.run_ahead = run_ahead


class TestLimits:
    """A caller that sends many requests takes bounded resources."""

    async def test_requests_of_a_connection_are_limited(self, service, caller):
        """Guards against one connection that takes the capacity of the VM."""
        paths = [f"p{number}" for number in range(40)]
        service.hold("p0")
        await caller.send(*map(get, paths))
        await service.wait_begun(*paths[:MAX_PIPELINED_PER_CONNECTION])
        service.gates["p0"].set()
        assert await caller.read_bodies(40) == paths
        assert service.most_running <= MAX_PIPELINED_PER_CONNECTION

    async def test_requests_of_the_vm_are_limited(self, service, caller):
        """Guards against many connections that together exceed the memory."""
        service.server.run_ahead.max_requests = 2
        service.hold("a")
        await caller.send(*map(get, "abcde"))
        await service.wait_begun("a", "b", "c")
        service.gates["a"].set()
        assert await caller.read_bodies(5) == list("abcde")

    @pytest.mark.parametrize("budget_bytes", [2_000_000, 1])
    async def test_large_response_waits_for_its_turn(self, service, caller, budget_bytes):
        """Guards against holding a response of any size, or more than the budget allows."""
        service.server.body_budget.max_bytes = budget_bytes
        size = MAX_HELD_RESPONSE_BYTES
        service.hold("a")
        paths = ["a", f"large-{size}", f"large-{size}", "d"]
        await caller.send(*map(get, paths))
        await service.wait_begun(*paths)
        assert service.server.body_budget.held_bytes <= max(2 * size, budget_bytes)
        assert service.server.open_requests == 3
        service.gates["a"].set()
        bodies = await caller.read_bodies(4)
        assert [len(body) for body in bodies] == [1, 2 * size, 2 * size, 1]

    async def test_caller_that_reads_nothing_is_not_read(self, service, caller):
        """Guards against memory that grows with the requests of a caller who does not read."""
        request = get("large-100000")
        with trio.move_on_after(0.5):
            while True:
                await caller.send(request * 100)
        (reader,) = service.server.readers
        assert len(reader.buffer) < 200_000
        assert service.server.open_requests <= MAX_PIPELINED_PER_CONNECTION
        assert service.server.body_budget.held_bytes <= 8 * MAX_HELD_RESPONSE_BYTES

    async def test_time_limit_while_waiting_allows_another_response(self, service, caller):
        """Guards against cutting a connection because a response waited for earlier ones."""
        handle, path = service.handle, f"large-{MAX_HELD_RESPONSE_BYTES}"

        async def handle_in_time(request, reply) -> None:
            with trio.move_on_after(0.1 if path in request.path else inf) as scope:
                await handle(request, reply)
            if scope.cancelled_caught and not reply.started:
                await reply.send_response(504, (), b"late")

        service.server.handler = handle_in_time
        service.hold("a")
        await caller.send(get("a"), get(path), get("c"))
        await service.wait_begun("a", path, "c")
        await trio.sleep(0.2)
        assert service.cancelled == [path]
        service.gates["a"].set()
        assert await caller.read_bodies(3) == ["a", "late", "c"]


class TestFailures:
    """A request that fails does not harm those around it."""

    @pytest.mark.parametrize("paths", [["fault", "b", "c"], ["a", "fault", "c"]])
    async def test_failed_handler_fails_one_request(self, service, caller, paths):
        """Guards against losing the responses behind a request whose handler failed."""
        service.hold(paths[0])
        await caller.send(*map(get, paths))
        await service.wait_begun(*paths)
        service.gates[paths[0]].set()
        statuses = [(await caller.read())[0] for _ in paths]
        assert statuses == [500 if path == "fault" else 200 for path in paths]

    async def test_cut_response_ends_the_connection_in_its_turn(self, service, caller):
        """Guards against losing earlier responses, or passing a part for the whole."""
        service.hold("a")
        await caller.send(get("a"), get("cut"), get("c"))
        await service.wait_begun("a", "cut", "c")
        service.gates["a"].set()
        assert await caller.read_bodies(1) == ["a"]
        assert await caller.read_rest() == b""

    async def test_malformed_bytes_are_rejected_after_valid_requests(self, service, caller):
        """Guards against valid requests that fail because of the bytes behind them."""
        service.hold("a")
        await caller.send(get("a"), get("b"), b"\x00\x01 bad\r\n\r\n")
        await service.wait_begun("a", "b")
        service.gates["a"].set()
        assert await caller.read_bodies(2) == ["a", "b"]
        status, head, _ = await caller.read()
        assert (status, "connection: close" in head) == (400, True)
        assert await caller.read_rest() == b""

    async def test_disconnect_cancels_all_requests(self, service, caller):
        """Guards against work for a caller that has gone."""
        service.hold("a", "c")
        await caller.send(*map(get, "abc"))
        await service.wait_begun("a", "b", "c")
        await caller.stream.aclose()
        with trio.fail_after(WAIT_S):
            while service.server.connections:
                await trio.sleep(0.01)
        assert sorted(service.cancelled) == ["a", "c"]
        assert service.server.aborted_requests == 3

    async def test_disconnect_after_the_last_response_is_no_abort(self, service, caller):
        """Guards against counting a caller that has all its responses as lost."""
        await caller.send(*map(get, "abc"))
        assert await caller.read_bodies(3) == list("abc")
        await caller.stream.aclose()
        await trio.sleep(0.05)
        assert service.server.aborted_requests == 0


class TestConnectionEnd:
    """A response that ends the connection is complete, and nothing false follows it."""

    async def test_stop_answers_what_runs(self, service, caller):
        """Guards against cutting requests that run, or reading more when the server stops."""
        service.hold("a")
        await caller.send(*map(get, "abc"))
        await service.wait_begun("a", "b", "c")
        service.server.draining.set()
        await caller.send(get("d"))
        await trio.sleep(0.05)
        service.gates["a"].set()
        heads = [(await caller.read())[1] for _ in range(3)]
        assert ["connection: close" in head for head in heads] == [False, False, True]
        assert await caller.read_rest() == b""
        assert "d" not in service.begun

    async def test_close_asked_by_the_caller(self, service, caller):
        """Guards against running requests behind one after which the caller closes."""
        service.hold("a")
        await caller.send(get("a"), get("b", "Connection: close"), get("c"))
        await service.wait_begun("a", "b")
        service.gates["a"].set()
        assert await caller.read_bodies(2) == ["a", "b"]
        assert await caller.read_rest() == b""

    @pytest.mark.parametrize("before", [[], ["a"]])
    async def test_unframed_response_is_the_last_one(self, service, caller, before):
        """Guards against responses that would read as a part of an unframed one."""
        paths = [*before, "unframed", "c", "d"]
        service.hold(paths[0], "d")
        await caller.send(*map(get, paths))
        await service.wait_begun(*paths)
        service.gates[paths[0]].set()
        assert await caller.read_bodies(len(before)) == before
        assert (await caller.read_rest()).endswith(b"\r\n\r\nunframed")
        assert service.cancelled == ["d"]
