"""Test rig that runs entry VMs and targets in one process on loopback with production classes."""

from collections.abc import Callable
from typing import Any

import trio
from attrs import define, evolve, field
from result import Result

from wagtailbay.access import Authorizer, KeyRing, hash_key
from wagtailbay.allotment import EqualShares
from wagtailbay.config import ConfigView, Route, ServiceDocument, Target, WorkspaceLimit
from wagtailbay.entry import RequestHandler
from wagtailbay.entry.at_most_once import AtMostOnceForwarder
from wagtailbay.entry.forward import Forwarder
from wagtailbay.limits import WorkspaceLimiter
from wagtailbay.membership import FactTable, Roster, VmIdentity, VmState
from wagtailbay.quarantine import CrashTable
from wagtailbay.refusals import Refusal
from wagtailbay.settings.checks import split_address
from wagtailbay.shift import AnyVersionPicker
from wagtailbay.steer import Assignment, AttemptReport, RoundRobinChooser, TargetQuery
from wagtailbay.store import StoredObject
from wagtailbay.transport import ConnectionPool, HttpServer
from wagtailbay_bench.once_history import FakeStore, build_idempotency_manager
from wagtailbay_standins.target import Behaviour, TargetStandin, run_target

KEY = "unam-key-0123456789"
AUTH = f"Authorization: Bearer {KEY}\r\n"


@define
class RecordingChooser(RoundRobinChooser):
    """Round-robin chooser that records reports and can always choose the first untried target."""

    reports: list = field(factory=list)
    always_first: bool = False

    async def choose(self, query: TargetQuery, now_s: float) -> Result[Assignment, Refusal]:
        """Choose the next target, or the first untried one if ``always_first`` is set."""
        self.cursor = -1 if self.always_first else self.cursor
        return await RoundRobinChooser.choose(self, query, now_s)

    def finish(
        self, query: TargetQuery, assignment: Assignment, report: AttemptReport, now_s: float
    ) -> None:
        """Record the target and the outcome of an attempt."""
        self.reports.append((assignment.target.target, report.outcome))


@define
class RigVm:
    """Entry VM that runs in a rig."""

    forwarder: Forwarder
    at_most_once_forwarder: AtMostOnceForwarder
    server: HttpServer
    facts: FactTable
    address: str

    async def connect(self) -> trio.SocketStream:
        """Open a connection to the VM's HTTP server."""
        return await trio.open_tcp_stream(*split_address(self.address))

    async def session(self, data: bytes, wait_s: float = 5.0) -> bytes:
        """Send bytes on a new connection and return all bytes received until it closes.

        A connection reset appends ``<reset>``; reading stops after ``wait_s``.
        """
        stream = await self.connect()
        received = bytearray()
        try:
            with trio.move_on_after(wait_s):
                await stream.send_all(data)
                async for chunk in stream:
                    received += chunk
        except trio.BrokenResourceError:
            received += b"<reset>"
        finally:
            await trio.aclose_forcefully(stream)
        return bytes(received)


@define
class Rig:
    """Targets and entry VMs that run in one nursery.

    Attributes:
        idle_timeout_ms: Idle timeout of every route.
        deadline_ms: Deadline of every route.
    """

    nursery: trio.Nursery
    targets: dict[str, Target] = field(factory=dict)
    standins: dict[str, TargetStandin] = field(factory=dict)
    store: FakeStore = field(factory=lambda: FakeStore(latency_s=0.0))
    idle_timeout_ms: int = 1_000
    deadline_ms: int = 2_000

    async def add_target(self, name: str, behaviour: Behaviour | None = None) -> TargetStandin:
        """Start a stand-in target, which restarts a minute after a crash."""
        behaviour = behaviour or Behaviour(service_time_ms=1, connection_cost_ms=0)
        standin = TargetStandin(name, "v1", behaviour)
        address = await self.nursery.start(run_target, standin, "127.0.0.1:0", 60_000)
        self.standins[name] = standin
        self.register_target(name, address)
        return standin

    def register_target(self, name: str, address: str) -> None:
        """Add a target to the configuration of VMs started later."""
        self.targets[name] = Target(name, address, "mx-a1", "v1", 6)

    async def add_raw_target(self, name: str, serve: Callable) -> None:
        """Start a target that passes the stream of each connection to a function."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.nursery.start_soon(trio.serve_listeners, serve, listeners)
        host, port = listeners[0].socket.getsockname()
        self.register_target(name, f"{host}:{port}")

    def _build_document(self) -> ServiceDocument:
        timeouts = {"deadline_ms": self.deadline_ms, "idle_timeout_ms": self.idle_timeout_ms}
        routes = (
            Route("read", "/", **timeouts),
            Route("open", "/open/", open=True, **timeouts),
            Route("deposit", "/deposits/", idempotent=False, **timeouts),
            Route("crash", "/crash-deposits/", idempotent=False, **timeouts),
        )
        limits = (WorkspaceLimit("unam", 1e6, 1e6),)
        return ServiceDocument("records", "team", routes, tuple(self.targets.values()), limits, ())

    async def add_vm(self, vm: str = "vm-1", state: VmState = VmState.LIVE) -> RigVm:
        """Start an entry VM with the targets registered so far."""
        clock = trio.current_time
        facts = FactTable(vm, 1)
        chooser, pool = RecordingChooser(), ConnectionPool()
        forwarder = Forwarder(chooser, AnyVersionPicker(), pool, CrashTable(facts), clock, vm)
        forwarder.retry_budget.tokens = 20.0
        at_most_once_forwarder = AtMostOnceForwarder(
            build_idempotency_manager(self.store, vm), forwarder
        )
        self.nursery.start_soon(at_most_once_forwarder.idempotency_manager.writer.run)
        key = StoredObject(f"keys/{hash_key(KEY)}", 1, {"workspace": "unam"})
        document = self._build_document()
        roster = Roster(VmIdentity(vm, 1, "127.0.0.1:1", "", "mx-a1"))
        if state is not VmState.JOINING:
            roster.announce(state)
        handler = RequestHandler(
            view=lambda: ConfigView(services={"records": document}),
            authorizer=Authorizer(
                KeyRing(lambda: {key.key: key}), lambda now_s: 0.0, lambda now_s: False
            ),
            limiter=WorkspaceLimiter(EqualShares(lambda: 1, -1e6), clock),
            forwarder=forwarder,
            at_most_once_forwarder=at_most_once_forwarder,
            roster=roster,
            status=lambda now_s: {},
            clock=clock,
        )
        server = HttpServer(handler.handle)
        bound_address = await self.nursery.start(server.serve, ("127.0.0.1", 0))
        return RigVm(
            forwarder,
            at_most_once_forwarder,
            server,
            facts,
            f"{bound_address[0]}:{bound_address[1]}",
        )

    def update_behaviour(self, name: str, **changes: Any) -> None:
        """Change the given fields of a stand-in target's behaviour."""
        standin = self.standins[name]
        standin.behaviour = evolve(standin.behaviour, **changes)


async def replicate_facts(vms: list[RigVm]) -> None:
    """Copy the facts of each VM to all VMs every 10 ms."""
    while True:
        for vm in vms:
            for other in vms:
                vm.facts.merge(other.facts.own(trio.current_time()))
        await trio.sleep(0.01)


def get(path: str, headers: str = AUTH, close: bool = True) -> bytes:
    """Encode a GET request."""
    connection_header = "Connection: close\r\n" if close else ""
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n{headers}{connection_header}\r\n".encode()


def post(path: str, key: str, body: bytes = b"thesis", headers: str = AUTH) -> bytes:
    """Encode a POST request with an idempotency key."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: x\r\n{headers}Idempotency-Key: {key}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
