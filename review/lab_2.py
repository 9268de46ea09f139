"""Stand-ins and process control for the scripts of the second review.

Needs the standard library only. All stand-ins run in the script's own process, on loopback
addresses. The gateways are separate processes, started with the command and the environment of the
deploy file.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = Path(__file__).resolve().parent.parent
HOST = "thesis.example"
SERVED = ("front", "ready", "control", "directory")
DEFAULT_BOUNDS = {
    "grace": "6s",
    "drain": "2500ms",
    "contact": "4000ms",
    "config_apply": "2500ms",
    "budget_ratio": "0.2",
    "budget_extra": "60",
    "quota_slack": "20",
    "expose_share": "0.1",
    "cold_overage": "1.5",
    "cold_slack": "5",
    "max_region_shift": "0.15",
    "ttl_max": "5s",
}


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to a text file."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the script."""
        return time.monotonic() - self.started_s

    def write(self, text: str) -> None:
        """Write one line with the time since the start of the script."""
        self.file.write(f"{self.now_s():9.4f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


@dataclass
class Message:
    """An HTTP request or response."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status code of a response."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader, bodiless: bool = False) -> Message | None:
    """Read one message with a stated length or in chunks; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    message = Message(first_line, {name.lower(): value.strip() for name, _, value in pairs})
    if bodiless:
        return message
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif "content-length" in message.headers:
            message.body = await reader.readexactly(int(message.headers["content-length"]))
        elif first_line.startswith("HTTP/") and message.status not in (204, 304):
            # Only the end of the connection ends the response.
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return message


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a response with its length."""
    lines = [f"HTTP/1.1 {status} x", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, (1).to_bytes(4, "little") + b"\0\0\0\0"
        )
    writer.transport.abort()


@dataclass
class StoredObject:
    """An object of the store with its fields beside ``meta``."""

    name: str
    revision: int
    created: int
    fields: dict[str, Any]

    def as_json(self) -> dict[str, Any]:
        """Return the object as the store sends it."""
        meta = {
            "name": self.name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return {"meta": meta, "spec": None, "status": None, **self.fields}


class Store:
    """The platform's metadata store: objects by kind and name, listings and watches.

    Attributes:
        events: The changes of each kind: revision, object and whether it was deleted.
        waiting: The waiting watches: kind, writer and caller of each.
        cut_off: The callers that are partitioned from the store; they get no answers and no
            resets, and their calls have no effect.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 1
        self.kinds: dict[str, dict[str, StoredObject]] = {}
        self.events: dict[str, list[tuple[int, dict[str, Any], bool]]] = {}
        self.changed = asyncio.Event()
        self.waiting: set[tuple[str, asyncio.StreamWriter, str]] = set()
        self.servers: list[asyncio.Server] = []
        self.cut_off: set[str] = set()

    async def listen(self, caller: str) -> str:
        """Listen on a free port for one caller, and return the address."""
        server = await asyncio.start_server(partial(self.serve, caller), "127.0.0.1", 0)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def watchers(self, kind: str) -> set[str]:
        """Return the callers that watch a kind now."""
        return {caller for waiting_kind, _, caller in self.waiting if waiting_kind == kind}

    def put(self, kind: str, name: str, fields: dict[str, Any]) -> int:
        """Write an object and return its revision."""
        self.revision += 1
        known = self.kinds.setdefault(kind, {}).get(name)
        merged = {**(known.fields if known else {}), **fields}
        created = known.created if known else self.revision
        stored = StoredObject(name, self.revision, created, merged)
        self.kinds[kind][name] = stored
        self._notify(kind, stored, deleted=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        self._notify(kind, self.kinds[kind].pop(name), deleted=True)

    def _notify(self, kind: str, stored: StoredObject, deleted: bool) -> None:
        self.events.setdefault(kind, []).append((self.revision, stored.as_json(), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_watches(self, kind: str) -> int:
        """Cut off the waiting watches of a kind; return their number."""
        cut = [writer for waiting_kind, writer, _ in self.waiting if waiting_kind == kind]
        for writer in cut:
            reset(writer)
        return len(cut)

    async def serve(
        self, caller: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the calls of one connection."""
        try:
            while (message := await read_message(reader)) is not None:
                if caller in self.cut_off:
                    await self._hold(writer)
                    return
                method, target, _ = message.first_line.split(" ", 2)
                status, body = await self._answer(method, target, message.body, (writer, caller))
                if caller in self.cut_off:
                    await self._hold(writer)
                    return
                writer.write(
                    encode_response(
                        status, {"Content-Type": "application/json"}, json.dumps(body).encode()
                    )
                )
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def _hold(writer: asyncio.StreamWriter) -> None:
        """Keep a connection silent until its caller closes it."""
        while not writer.is_closing() and not writer.transport.is_closing():
            await asyncio.sleep(0.1)

    async def _answer(
        self, method: str, target: str, body: bytes, origin: tuple[asyncio.StreamWriter, str]
    ) -> tuple[int, Any]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        _, _, kind, *names = [unquote(part) for part in url.path.split("/")]
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and not names and "watch" in query:
            return await self._watch(kind, query, origin)
        if method == "GET" and not names:
            found = sorted(name for name in objects if name > query.get("after", ""))
            items = [objects[name].as_json() for name in found[:500]]
            return 200, {"items": items, "has_more": len(found) > 500, "at": self.revision}
        if method == "GET":
            stored = objects.get(names[0])
            return (200, stored.as_json()) if stored else (404, {"error": "not found"})
        return self._write(method, kind, names, json.loads(body) if body else {}, query)

    async def _watch(
        self, kind: str, query: dict[str, str], origin: tuple[asyncio.StreamWriter, str]
    ) -> tuple[int, Any]:
        since, until_s = int(query["watch"]), time.monotonic() + int(query["wait_ms"]) / 1000
        waiting = (kind, *origin)
        self.waiting.add(waiting)
        try:
            while True:
                newer = [event for event in self.events.get(kind, []) if event[0] > since]
                left_s = until_s - time.monotonic()
                if newer or left_s <= 0:
                    break
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left_s)
                except TimeoutError:
                    continue
        finally:
            self.waiting.discard(waiting)
        events = [{"object": item, "deleted": deleted} for _, item, deleted in newer]
        return 200, {"events": events, "at": self.revision}

    def _write(
        self, method: str, kind: str, names: list[str], body: dict, query: dict[str, str]
    ) -> tuple[int, Any]:
        name = names[0] if names else body["meta"]["name"]
        known = self.kinds[kind].get(name)
        expected = body.get("meta", {}).get("revision", query.get("revision"))
        if method == "POST" and known is not None:
            return 409, known.as_json()
        if method != "POST" and known is None:
            return 404, {"error": "not found"}
        if known is not None and expected is not None and int(expected) != known.revision:
            return 409, known.as_json()
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known.as_json()
        part = "status" if names[1:] == ["status"] else "spec"
        if known is None or known.fields.get(part) != body.get(part):
            self.put(kind, name, {part: body.get(part)})
        return 200, self.kinds[kind][name].as_json()


@dataclass
class Arrival:
    """A request that reached an upstream."""

    at_s: float
    request_id: str
    outcome: str = "running"


class Upstream:
    """A sound upstream with slots and a queue, which echoes ids and seals its answers.

    Attributes:
        work_s: Time for which a request holds a slot.
        is_leaving: Whether it says in all its answers that it leaves.
    """

    def __init__(
        self, record: Record, name: str, service: str, zone: str, slots: int, work_s: float
    ) -> None:
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.version = "v1"
        self.born = int(time.time() * 1000)
        self.arrivals: list[Arrival] = []
        self.limiter = asyncio.Semaphore(slots)
        self.in_flight = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.is_leaving = False
        self.has_ended = False

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the upstream's entry in the store."""
        info = {
            "service": self.service,
            "version": self.version,
            "zone": self.zone,
            "slots": self.slots,
        }
        status = {"state": state, "seq": 1, "cold_left": "0ms"}
        spec = {"address": self.address, "info": info, "status": status, "born": self.born}
        return {"spec": spec}

    def end(self) -> None:
        """End like a process that exits: the requests that it runs are lost."""
        self.has_ended = True
        self.server.close()
        for task in tuple(self.tasks):
            task.cancel()
        for writer in tuple(self.writers):
            reset(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one at a time."""
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self._handle(message, writer)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def run(self, message: Message, request_id: str) -> None:
        """Work on a request."""
        await asyncio.sleep(self.work_s * random.uniform(0.85, 1.15))

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        request_id = message.headers.get("request-id", "")
        common = {"Request-Id": request_id} if request_id else {}
        if self.is_leaving:
            common["Server-Leaving"] = "1"
        expected = message.headers.get("expect-instance", self.name)
        if expected != self.name:
            self.record.write(f"{self.name} got {request_id} for {expected}: 421")
            common |= {"Instance-Id": self.name, "Not-Executed": "1"}
            writer.write(encode_response(421, common, b""))
            return
        arrival = Arrival(self.record.now_s(), request_id)
        self.arrivals.append(arrival)
        if self.in_flight >= 4 * self.slots:
            arrival.outcome = "shed"
            writer.write(encode_response(503, common | {"Not-Executed": "1"}, b""))
            return
        self.in_flight += 1
        try:
            async with self.limiter:
                arrival.outcome = "lost at the exit"
                await self.run(message, request_id)
            arrival.outcome = "ran"
        finally:
            self.in_flight -= 1
            self.record.write(
                f"{self.name} got {request_id} at {arrival.at_s:.4f}: " f"{arrival.outcome}"
            )
        if self.is_leaving:
            common["Server-Leaving"] = "1"
        load = f"{self.in_flight},0,{self.slots}"
        body = f"{self.name} ran {request_id}".encode()
        headers = common | {"Response-Seal": f"seal.{request_id}", "Server-Load": load}
        writer.write(encode_response(200, headers, body))
        await writer.drain()


@dataclass
class Answer:
    """How a request of a client ended; the status is 0 if there was no complete answer."""

    request_id: str
    machine: str
    sent_s: float
    ended_s: float
    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class Client:
    """A client with one kept connection to one gateway."""

    def __init__(self, record: Record, machine: str, address: str) -> None:
        self.record, self.machine, self.address = record, machine, address
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        method: str,
        path: str,
        key: str | None = None,
        body: bytes = b"",
        deadline_ms: int = 6_000,
    ) -> Answer:
        """Send one request and wait for its answer until the deadline."""
        request_id = f"{random.getrandbits(64):016x}"
        sent_s = self.record.now_s()
        answer = Answer(request_id, self.machine, sent_s, sent_s, 0)
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
        ]
        if key is not None:
            lines.append(f"Authorization: Token {key}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self.connection is None:
                    host, _, port = self.address.rpartition(":")
                    self.connection = await asyncio.open_connection(host, int(port))
                reader, writer = self.connection
                writer.write(data)
                message = await read_message(reader)
        except (TimeoutError, ConnectionError, OSError):
            message = None
        answer.ended_s = self.record.now_s()
        if message is not None:
            answer.status, answer.body = message.status, message.body
            answer.headers = message.headers
        if message is None or message.headers.get("connection", "").lower() == "close":
            self.close()
        self.record.write(
            f"client of {self.machine} {method} {path} {request_id} sent at {sent_s:.4f}: "
            f"{answer.status or 'no answer'} {answer.body[:60]!r}"
        )
        return answer

    def close(self) -> None:
        """Close the kept connection."""
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None


@dataclass
class Machine:
    """A machine of the deployment, which runs the role that the deploy file names."""

    name: str
    ip: str
    zone: str
    platform_address: str
    settings: dict[str, Any] = field(default_factory=dict)
    process: subprocess.Popen | None = None
    starts: int = 0

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return self.settings["listen"]["front"]

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None


def fill_template(text: str, values: dict[str, Any]) -> str:
    """Fill the placeholders of the deploy file, by the names of the settings."""

    def replace(match: re.Match) -> str:
        value: Any = values
        for part in match[1].split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return ""
        if isinstance(value, dict):
            return json.dumps(value)
        if isinstance(value, bool):
            return str(value).lower()
        return ",".join(value) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", replace, text)


class Deployment:
    """Gateways as separate processes, started as the deploy file says."""

    def __init__(
        self, record: Record, zones: dict[str, str], bounds: dict[str, str] | None = None
    ) -> None:
        self.record, self.zones = record, zones
        self.bounds = DEFAULT_BOUNDS | (bounds or {})
        self.role = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"][
            "gateway"
        ]
        self.machines: list[Machine] = []
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"

    def add_machine(self, name: str, zone: str, platform_address: str) -> Machine:
        """Add a machine with free addresses; it is not started yet."""
        ip = f"{self.prefix}.{10 + len(self.machines)}"
        listen = {service: f"{ip}:{free_port(ip)}" for service in SERVED}
        machine = Machine(name, ip, zone, platform_address)
        machine.settings = {
            "ip": ip,
            "node": name,
            "zone": zone,
            "region": self.zones[zone],
            "zones": self.zones,
            "listen": listen,
            "platform": {"address": platform_address, "reads_per_s": 2000},
            "bounds": self.bounds,
            "limits": {"memory_mb": 300},
            "bootstrap": True,
        }
        self.machines.append(machine)
        return machine

    def move(self, machine: Machine, zone: str) -> None:
        """Place a machine in another zone before its next start."""
        machine.zone = zone
        machine.settings |= {"zone": zone, "region": self.zones[zone]}

    def start(self, machine: Machine) -> None:
        """Start the process of a machine."""
        seeds = [other.settings["listen"]["control"] for other in self.machines[:3]]
        values = machine.settings | {"seeds": seeds, "bootstrap": machine.starts == 0}
        deps = REPOSITORY / "target/deps"
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(deps)
        environment |= {
            name: fill_template(text, values) for name, text in self.role["env"].items()
        }
        machine.starts += 1
        log = Path(self.folder.name) / f"{machine.name}-{machine.starts}.log"
        with log.open("wb") as output:
            machine.process = subprocess.Popen(
                self.role["run"].split(" "),
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record.write(f"{machine.name} started as process {machine.process.pid}")

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        self.record.write(f"{machine.name} gets {number.name}")
        machine.process.send_signal(number)

    async def wait_ready(self, machine: Machine, timeout_s: float = 15.0) -> bool:
        """Wait until the machine answers the platform's readiness question with 200."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s and machine.is_running:
            if await self.is_ready(machine):
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether the machine says that it is ready."""
        answer = await fetch(machine.settings["listen"]["ready"], "/ready")
        return answer is not None and answer.status == 200

    def log_of(self, machine: Machine) -> str:
        """Return what all runs of a machine's process wrote."""
        paths = sorted(Path(self.folder.name).glob(f"{machine.name}-*.log"))
        return "".join(path.read_text(errors="replace") for path in paths)

    def stop(self) -> None:
        """End all processes that this deployment started."""
        for machine in self.machines:
            if machine.is_running:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        self.folder.cleanup()


async def fetch(address: str, path: str, timeout_s: float = 1.0) -> Message | None:
    """Send a GET request on a new connection; return None without an answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
            return await read_message(reader)
    except (TimeoutError, ConnectionError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()


def configuration(
    version: int, routes: list[dict[str, Any]], tenants: list[dict[str, Any]] | None = None
) -> dict[str, Any]:
    """Return the fields of ``config/main`` for routes that name their service."""
    services = sorted({route["service"] for route in routes})
    common = {
        "host": HOST,
        "latency_goal": "800ms",
        "priority": 1,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "home_regions": [],
    }
    spec = {
        "version": f"{version:08x}",
        "routes": [common | route for route in routes],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 360,
                "protocol": "h1",
                "tls": False,
                "cold": "3s",
                "cold_per_s": 6.4,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "tenants": tenants or [],
    }
    return {"spec": spec}


def has_trouble() -> bool:
    """Return whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Record], Awaitable[bool]], limit_s: float) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder / "record.txt")

    async def play_within_limit() -> bool:
        loop = asyncio.get_running_loop()
        # Connections that are cut on purpose would fill standard error with tracebacks.
        loop.set_exception_handler(lambda loop, context: None)
        # A terminated script ends its processes, too.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(limit_s):
            return await play(record)

    try:
        code = 1 if asyncio.run(play_within_limit()) else 0
    except (Exception, asyncio.CancelledError) as error:  # The case could not run.
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    record.write(f"exit code {code}")
    record.close()
    sys.exit(code)
