"""Small deployment of gateway processes with stand-ins for the platform's store and upstreams.

Everything runs on loopback addresses. The gateways are started with the command and the
environment of the deploy file; store, upstreams and clients are tasks of the test's own process
and use the standard library only.
"""

import asyncio
import contextlib
import json
import logging
import os
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
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "k-first"
TENANT = "tenant-one"
BOUNDS = {
    "contact": "4000ms",
    "drain": "2500ms",
    "grace": "6s",
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
ZONES = {"centro-a": "centro", "centro-b": "centro"}
# Connections that a stand-in ends itself are no errors worth a trace.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)


class Record:
    """Timed lines of what was sent, answered and run, written to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.started_s = time.monotonic()
        self.lines: list[str] = []

    def now_s(self) -> float:
        """Return the time since the start of the test."""
        return time.monotonic() - self.started_s

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self.lines.append(f"{self.now_s():9.3f} s  {text}")

    def save(self) -> None:
        """Write all lines."""
        self.path.write_text("\n".join(self.lines) + "\n")


@dataclass
class Message:
    """Request or response head with its whole body."""

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = True

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message, None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a request whose body, if any, has a stated length."""
    message = await read_head(reader)
    if message is not None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
            return message
    return None


async def read_response(reader: asyncio.StreamReader) -> Message | None:
    """Read a response; ``whole`` tells whether its body ended properly."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "content-length" in message.headers:
            message.body = await reader.readexactly(int(message.headers["content-length"]))
        elif message.headers.get("transfer-encoding", "") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            message.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError):
        message.whole = False
    return message


def encode_response(
    status: int, headers: dict[str, str], body: bytes, framed: bool = True
) -> bytes:
    """Encode a response, without any length if it is not framed."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: objects by kind and name, lists, watches and conditional writes.

    While ``is_silent``, calls get no answer, and those that wait get none afterwards either.
    ``restore`` brings back an older copy and raises the era.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 100
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.is_silent = False
        self.era = 1
        self.on_call: Callable[[str, str], None] = lambda method, target: None
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def put(self, kind: str, name: str, **fields: Any) -> int:
        """Write fields of an object and return its revision."""
        self.revision += 1
        known = self.objects.get((kind, name), {"spec": None, "status": None})
        created = known.get("meta", {}).get("created", self.revision)
        meta = {"name": name, "revision": self.revision, "created": created}
        meta |= {"finalizers": [], "deleting": False}
        self.objects[kind, name] = {**known, **fields, "meta": meta}
        self._notify(kind, False, self.objects[kind, name])
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        removed = self.objects.pop((kind, name))
        removed = {**removed, "meta": {**removed["meta"], "revision": self.revision}}
        self._notify(kind, True, removed)

    def copy(self) -> tuple[int, dict[tuple[str, str], dict[str, Any]]]:
        """Return a copy of all objects with the revision."""
        return self.revision, dict(self.objects)

    def restore(self, copy: tuple[int, dict[tuple[str, str], dict[str, Any]]]) -> None:
        """Come back from a copy."""
        self.revision, self.objects = copy[0], dict(copy[1])
        self.events = []
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def _notify(self, kind: str, deleted: bool, item: dict[str, Any]) -> None:
        self.events.append((self.revision, kind, deleted, item))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                silent, era = self.is_silent, self.era
                self.on_call(request.first[0], request.first[1])
                status, value = await self._answer(request)
                if silent or self.is_silent or era != self.era:
                    await reader.read(-1)
                    break
                body = json.dumps(value).encode()
                headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
                writer.write(encode_response(status, headers, body))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        await asyncio.sleep(0.004)
        method, url = request.first[0], urlsplit(request.first[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        _, _, kind, *names = [unquote(part) for part in url.path.split("/")]
        if method == "GET" and not names:
            return await self._read_kind(kind, query)
        body = json.loads(request.body) if request.body else {}
        name = names[0] if names else body["meta"]["name"]
        known = self.objects.get((kind, name))
        if method == "GET":
            return (200, known) if known else (404, {})
        revision = body.get("meta", {}).get("revision") or query.get("revision")
        if method == "POST" and known:
            return 409, known
        if method != "POST" and not known:
            return 404, {}
        if revision and int(revision) != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, known
        part = "status" if names[1:] == ["status"] else "spec"
        self.put(kind, name, **{part: body.get(part)})
        return 200, self.objects[kind, name]

    async def _read_kind(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        if "watch" not in query:
            after = query.get("after", "")
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            items = [self.objects[kind, name] for name in names[:500]]
            return 200, {"items": items, "has_more": len(names) > 500, "at": self.revision}
        if int(query["watch"]) > self.revision:
            return 410, {}
        since, ends_s = int(query["watch"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = [e for e in self.events if e[0] > since and e[1] == kind]
            left_s = ends_s - time.monotonic()
            if found or left_s <= 0:
                events = [{"deleted": deleted, "object": item} for _, _, deleted, item in found]
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)


Answer = Callable[["Upstream", Message, asyncio.StreamWriter], Awaitable[bool]]


@dataclass
class Upstream:
    """A sound upstream, whose ``answer`` writes the response and returns whether it keeps on."""

    record: Record
    name: str
    service: str
    zone: str = "centro-a"
    work_s: float = 0.05
    answer: Answer | None = None
    slots: int = 32
    arrivals: list[tuple[float, Message]] = field(default_factory=list)
    address: str = ""
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    born: int = field(default_factory=lambda: int(time.time() * 1000))

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the fields of its entry in the store."""
        info = {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots}
        spec = {"address": self.address, "info": info, "born": self.born}
        status = {"state": state, "seq": 1, "cold_left": "0ms", "born": self.born}
        return {"spec": spec, "status": status}

    def stop(self) -> None:
        """End the process of the upstream, with all its connections."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def restart(self) -> None:
        """Start again at the same address and under the same ID."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.born = int(time.time() * 1000)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                if not await self._handle(request, writer):
                    break
        self.writers.discard(writer)
        writer.close()

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        request_id = request.headers.get("request-id", "")
        if request.headers.get("expect-instance", self.name) != self.name:
            headers = {"Request-Id": request_id, "Not-Executed": "1", "Instance-Id": self.name}
            writer.write(encode_response(421, headers, b""))
            return True
        self.arrivals.append((self.record.now_s(), request))
        self.record.add(f"{self.name} gets {' '.join(request.first[:2])} id {request_id}")
        if self.answer is not None:
            return await self.answer(self, request, writer)
        await asyncio.sleep(self.work_s)
        self.send(request, writer)
        await writer.drain()
        return True

    def send(self, request: Message, writer: asyncio.StreamWriter, framed: bool = True) -> None:
        """Write a sealed success for a request."""
        request_id = request.headers.get("request-id", "")
        headers = {"Request-Id": request_id, "Response-Seal": f"seal.{request_id}"}
        headers["Server-Load"] = f"1,0,{self.slots}"
        writer.write(encode_response(200, headers, f"body of {request_id}".encode(), framed))


def render(text: str, fields: dict[str, str]) -> str:
    """Fill the placeholders of the deploy file; an unknown one has no value."""
    return re.sub(r"\{\{([^}|]+)(?:\|json)?\}\}", lambda m: fields.get(m[1], ""), text)


def free_ports(ip: str, count: int) -> list[int]:
    """Return free ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((ip, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(self, lab: "Lab", number: int, zone: str) -> None:
        self.lab, self.zone = lab, zone
        self.ip, self.name = f"127.0.0.{10 + number}", f"front-{zone}-{number}"
        front, ready, directory, control, metrics = free_ports(self.ip, 5)
        self.port, self.ready_port, self.control_port = front, ready, control
        self.directory_port, self.metrics_port = directory, metrics
        self.process: subprocess.Popen | None = None

    def start(self, first: bool = True) -> None:
        """Start the process."""
        role = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]["gateway"]
        seeds = ",".join(f"{g.ip}:{g.control_port}" for g in self.lab.gateways[:3])
        fields = {
            "ip": self.ip,
            "node": self.name,
            "zone": self.zone,
            "zones": json.dumps(ZONES),
            "listen.front": f"{self.ip}:{self.port}",
            "listen.ready": f"{self.ip}:{self.ready_port}",
            "listen.directory": f"{self.ip}:{self.directory_port}",
            "listen.control": f"{self.ip}:{self.control_port}",
            "seeds": seeds,
            "platform.address": self.lab.store.address,
            "platform.reads_per_s": "2000",
            "limits.memory_mb": "300",
            "limits.cpu_share": "0.86",
            "limits.cores": "1",
            "limits.link_mbps": "1000.0",
            "bootstrap": "true" if first else "false",
        }
        fields |= {f"bounds.{name}": value for name, value in BOUNDS.items()}
        environment = {name: render(text, fields) for name, text in role["env"].items()}
        environment["WAGTAILBAY_METRICS_ADDRESS"] = f"{self.ip}:{self.metrics_port}"
        environment |= {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/")}
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = open(self.lab.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        words = role["run"].split()
        words[0] = sys.executable if words[0] == "python3" else words[0]
        self.process = subprocess.Popen(
            words, env=environment, cwd=REPOSITORY, stdout=log, stderr=log
        )
        self.lab.record.add(f"{self.name} starts as process {self.process.pid}")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.lab.record.add(f"{self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_ready(self, within_s: float = 20.0) -> None:
        """Wait until the process says that it is ready."""
        ends_s = time.monotonic() + within_s
        while time.monotonic() < ends_s:
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended with status {self.process.returncode}")
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                response = await read_response(reader)
                writer.close()
                if response is not None and response.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} did not become ready")


class CannotRunError(Exception):
    """The case could not run."""


@dataclass
class Route:
    """A route of the configuration."""

    prefix: str
    kind: str
    service: str
    timeout: str = "4000ms"
    attempts: int = 2
    sticky: bool = False

    def spec(self) -> dict[str, Any]:
        """Return the route as the operator writes it."""
        return {
            "name": "r-" + self.prefix.strip("/"),
            "host": HOST,
            "path_prefix": self.prefix,
            "kind": self.kind,
            "timeout": self.timeout,
            "latency_goal": "600ms",
            "priority": 1,
            "service": self.service,
            "max_attempts": self.attempts,
            "public": False,
            "sticky": self.sticky,
            "home_regions": [],
        }


class Lab:
    """A store, some upstreams and some gateways."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.store = Store(self.record)
        self.gateways: list[Gateway] = []
        self.upstreams: list[Upstream] = []
        self.sent = 0

    def write_config(
        self,
        version: int,
        routes: list[Route],
        rate_per_s: float = 0,
        burst: float = 0,
        keys: tuple[str, ...] = (KEY,),
    ) -> None:
        """Write the configuration as the operator."""
        services = sorted({route.service for route in routes})
        spec = {
            "version": f"{version:08x}",
            "routes": [route.spec() for route in routes],
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
            "tenants": [
                {
                    "name": TENANT,
                    "api_keys": list(keys),
                    "priority": 1,
                    "rate_per_s": rate_per_s,
                    "burst": burst,
                    "home_regions": [],
                }
            ],
        }
        self.store.put("config", "main", spec=spec)
        self.record.add(f"the store acknowledges configuration {version}")

    async def add_upstream(self, upstream: Upstream) -> Upstream:
        """Start an upstream and register it."""
        await upstream.start()
        self.upstreams.append(upstream)
        self.store.put("servers", upstream.name, **upstream.entry())
        return upstream

    async def start(
        self, routes: list[Route], gateways: int, rate_per_s: float = 0, burst: float = 0
    ) -> None:
        """Start the store and the gateways, and wait until all are ready."""
        await self.store.start()
        self.write_config(7, routes, rate_per_s, burst)
        zones = sorted(ZONES)
        self.gateways = [Gateway(self, n, zones[n % len(zones)]) for n in range(gateways)]
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record.add("all gateways are ready")

    def request(
        self, method: str, path: str, deadline_ms: int = 4000, body: bytes = b""
    ) -> tuple[str, bytes]:
        """Return the ID and the bytes of a new request."""
        self.sent += 1
        request_id = f"{self.sent:08x}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Authorization: Token {KEY}",
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        return request_id, ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def call(
        self,
        gateway: Gateway,
        method: str,
        path: str,
        deadline_ms: int = 4000,
        body: bytes = b"",
        key: str = KEY,
        affinity: str = "",
    ) -> tuple[str, Message | None]:
        """Send a request on a new connection and return its ID and response."""
        request_id, data = self.request(method, path, deadline_ms, body)
        data = data.replace(f"Token {KEY}".encode(), f"Token {key}".encode())
        if affinity:
            cookie = f"\r\nCookie: Affinity-Key={affinity}\r\nAuthorization"
            data = data.replace(b"\r\nAuthorization", cookie.encode(), 1)
        self.record.add(f"client sends {method} {path} id {request_id} to {gateway.name}")
        try:
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.port)
            writer.write(data)
            response = await asyncio.wait_for(read_response(reader), deadline_ms / 1000 + 2)
            writer.close()
        except (TimeoutError, OSError) as error:
            self.record.add(f"client of id {request_id}: {type(error).__name__}")
            return request_id, None
        status = response.status if response else "no answer"
        self.record.add(f"client of id {request_id} gets {status}")
        return request_id, response

    def stop(self) -> None:
        """End all processes."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait()
        for upstream in self.upstreams:
            upstream.stop()
        if self.store.server is not None:
            self.store.server.close()


def run_case(file: str, case: Callable[[Lab, bool], Awaitable[list[str]]]) -> None:
    """Run a case with or without its trouble, and exit with 0, 1 or 2.

    Args:
        case: Returns the breaches of the rule that it saw, a line each.
    """
    lab: Lab | None = None

    async def run() -> list[str]:
        nonlocal lab
        lab = Lab(Path(file).resolve().parent)
        try:
            async with asyncio.timeout(110):
                return await case(lab, os.environ.get("TROUBLE", "1") != "0")
        finally:
            lab.stop()

    try:
        breaches = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        if lab is not None:
            lab.record.add(f"the case could not run: {type(error).__name__}: {error}")
            lab.record.save()
        print(f"could not run: {error}")
        sys.exit(2)
    for breach in breaches:
        lab.record.add(f"BREACH: {breach}")
    lab.record.save()
    print(f"{len(breaches)} breaches", *breaches[:5], sep="\n")
    sys.exit(1 if breaches else 0)
