"""Stand-ins for the platform's store, upstreams and clients, and control of gateway processes.

Everything listens on loopback addresses. Only the standard library is used. The gateway runs as a
separate process with the command and the environment of the deploy file.
"""

import asyncio
import itertools
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
REGIONS = {"centro-a": "centro", "norte-a": "norte", "sur-a": "sur"}
STORE_LATENCY_S = 0.004
PAGE_ITEMS = 500
HEARTBEAT_S = 1.5
IDLE_CLOSE_S = 10.0
GRACE_S = 6.0
# The bounds of a small site, in the form of the settings file.
SETTINGS = {
    "bounds.grace": "6s",
    "bounds.drain": "2500ms",
    "bounds.contact": "4000ms",
    "bounds.config_apply": "2500ms",
    "bounds.budget_ratio": "0.2",
    "bounds.budget_extra": "60",
    "bounds.quota_slack": "20",
    "bounds.expose_share": "0.1",
    "bounds.cold_overage": "1.5",
    "bounds.cold_slack": "5",
    "bounds.max_region_shift": "0.15",
    "bounds.ttl_max": "5s",
    "platform.reads_per_s": "2000",
}
_ports = itertools.count(random.randrange(20_000, 28_000))


class CaseError(Exception):
    """Raised when a case cannot run."""


def free_port(host):
    """Return a port that is free on a loopback host and that was not returned before."""
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        return port
    raise CaseError("no free port")


class Record:
    """Log of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        """Open the file."""
        self.started_s = time.monotonic()
        self.file = Path(path).open("w")  # noqa: SIM115

    def write(self, text, show=False):
        """Write a line, also to standard output if it is to be shown."""
        line = f"{time.monotonic() - self.started_s:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        if show:
            print(line, flush=True)


class HttpConnection:
    """Reads HTTP/1.1 messages from a stream."""

    def __init__(self, reader, writer):
        """Keep both directions of the connection."""
        self.reader, self.writer = reader, writer

    async def read_head(self):
        """Return the start line and the headers in lower case, None at the end of the stream."""
        try:
            raw = await self.reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise ConnectionResetError("the head is incomplete") from error
            return None
        first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return first, headers

    async def read_body(self, headers):
        """Return the body of a message with a length or in chunks."""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = bytearray()
            while True:
                size = int((await self.reader.readline()).split(b";")[0], 16)
                body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
                if size == 0:
                    return bytes(body)
        length = int(headers.get("content-length", 0))
        return await self.reader.readexactly(length) if length else b""

    def send(self, status, headers, body=b""):
        """Send a response with its length."""
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)


class Store:
    """The platform's store: objects by kind and name, with revisions and watches."""

    def __init__(self):
        """Start empty."""
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.calls = 0

    def write(self, kind, name, **fields):
        """Write fields of an object as the operator or an upstream does."""
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        item = dict(known) if known else {"spec": None, "status": None}
        created = known["meta"]["created"] if known else self.revision
        meta = {"name": name, "revision": self.revision, "created": created}
        item |= fields | {"meta": meta | {"finalizers": [], "deleting": False}}
        self.objects[kind][name] = item
        self._notify(kind, item, False)
        return item

    def remove(self, kind, name):
        """Delete an object."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._notify(kind, item, True)

    def _notify(self, kind, item, deleted):
        self.events.append((self.revision, kind, {"object": item, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, host):
        """Listen on a free port and return the address."""
        port = free_port(host)
        self.server = await asyncio.start_server(self._serve_connection, host, port)
        return f"{host}:{port}"

    async def _serve_connection(self, reader, writer):
        connection = HttpConnection(reader, writer)
        try:
            while (head := await connection.read_head()) is not None:
                body = await connection.read_body(head[1])
                self.calls += 1
                method, target, _ = head[0].split(" ")
                await asyncio.sleep(STORE_LATENCY_S)
                status, value = await self._handle(method, target, body)
                data = json.dumps(value).encode()
                connection.send(status, {"Content-Type": "application/json"}, data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        _, _, kind, *names = (unquote(part) for part in url.path.split("/"))
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return 200, await self._watch(kind, int(query["watch"]), int(query["wait_ms"]))
        if method == "GET" and not names:
            after = query.get("after", "")
            keys = sorted(name for name in objects if name > after)
            items = [objects[name] for name in keys[:PAGE_ITEMS]]
            return 200, {"items": items, "has_more": len(keys) > PAGE_ITEMS, "at": self.revision}
        if method == "GET":
            return (200, objects[names[0]]) if names[0] in objects else (404, {})
        content = json.loads(body) if body else {}
        meta = content.get("meta", {})
        name = names[0] if names else meta["name"]
        known = objects.get(name)
        wanted = meta.get("revision", query.get("revision"))
        if method == "POST" and known is not None:
            return 409, known
        if method != "POST" and known is None:
            return 404, {}
        if wanted is not None and known and int(wanted) != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        part = "status" if names[1:] == ["status"] else "spec"
        if known is not None and known[part] == content.get(part):
            return 200, known
        return 200, self.write(kind, name, **{part: content.get(part)})

    async def _watch(self, kind, since, wait_ms):
        deadline_s = time.monotonic() + wait_ms / 1000
        while True:
            events = []
            for revision, event_kind, event in reversed(self.events):
                if revision <= since:
                    break
                if event_kind == kind:
                    events.append(event)
            left_s = deadline_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events[::-1], "at": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)


class Upstream:
    """One upstream: slots, a queue, a registration in the store, and a list of its runs.

    A request works for ``work_s``. The upstream drops a request whose connection closes. It says
    which requests it did not run.
    """

    def __init__(self, store, record, service, zone, host, slots=9, queue=27, work_s=0.5):
        """Set the properties; ``start`` makes it listen and register."""
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.host, self.slots, self.queue, self.work_s = host, slots, queue, work_s
        self.id = f"i-{random.randrange(16**8):08x}"
        self.limiter = asyncio.Semaphore(slots)
        self.pending = 0
        self.runs = []
        self.working = set()
        self.writers = set()
        self.state = "ready"
        self.seq = 0
        self.born = round(time.time() * 1000)

    async def start(self):
        """Listen, register, and go on writing heartbeats."""
        self.port = free_port(self.host)
        self.server = await asyncio.start_server(self._serve_connection, self.host, self.port)
        self.beat()
        self.heartbeats = asyncio.create_task(self._run_heartbeats())

    def beat(self):
        """Write the entry."""
        self.seq += 1
        info = {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots}
        self.store.write(
            "servers",
            self.id,
            address=f"{self.host}:{self.port}",
            info=info,
            status={"state": self.state, "seq": self.seq, "cold_left": "0ms"},
            born=self.born,
        )

    async def _run_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    async def drain_and_stop(self, drain_s):
        """Leave as announced: report draining, serve on for a while, deregister and exit."""
        self.state = "draining"
        self.beat()
        await asyncio.sleep(drain_s)
        self.heartbeats.cancel()
        self.store.remove("servers", self.id)
        self.server.close()
        for writer in tuple(self.writers):
            writer.close()

    async def _serve_connection(self, reader, writer):
        connection = HttpConnection(reader, writer)
        self.writers.add(writer)
        try:
            while True:
                head = await asyncio.wait_for(connection.read_head(), IDLE_CLOSE_S)
                if head is None:
                    return
                body = await connection.read_body(head[1])
                await self._answer(connection, head[0], head[1], body)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, connection, start_line, headers, body):
        method, path, _ = start_line.split(" ")
        request_id = headers.get("request-id", "")
        common = {"Request-Id": request_id, "Keep-Alive": f"timeout={round(IDLE_CLOSE_S)}"}
        if headers.get("expect-instance") not in (None, self.id):
            connection.send(421, common | {"Instance-Id": self.id, "Not-Executed": "1"})
            return
        if self.pending >= self.slots + self.queue:
            connection.send(503, common | {"Not-Executed": "1"})
            return
        self.pending += 1
        try:
            async with self.limiter:
                running = self.slots - self.limiter._value
                load = f"{running},{max(0, self.pending - running)},{self.slots}"
                self.runs.append(request_id)
                self.working.add(request_id)
                self.record.write(f"run      {request_id} at={self.id} {method} bytes={len(body)}")
                work = asyncio.create_task(asyncio.sleep(self.work_s))
                closed = asyncio.create_task(connection.reader.read(1))
                await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    self.record.write(f"dropped  {request_id} at={self.id}: connection closed")
                    raise ConnectionResetError("the caller has closed the connection")
                closed.cancel()
                await asyncio.gather(closed, return_exceptions=True)
                seal = f"{self.id}.{request_id}.200"
                text = json.dumps({"id": request_id, "bytes": len(body)}).encode()
                connection.send(200, common | {"Response-Seal": seal, "Server-Load": load}, text)
                await connection.writer.drain()
        finally:
            self.working.discard(request_id)
            self.pending -= 1


class Gateway:
    """A gateway process on a loopback address of its own."""

    def __init__(self, deployment, host, zone):
        """Choose the ports; ``start`` starts the process."""
        self.deployment, self.host, self.zone = deployment, host, zone
        self.front = f"{host}:{free_port(host)}"
        self.ready = f"{host}:{free_port(host)}"
        self.control = f"{host}:{free_port(host)}"
        self.directory = f"{host}:{free_port(host)}"
        self.metrics_port = free_port(host)
        self.process = None

    def _environment(self, first_start):
        values = SETTINGS | {
            "ip": self.host,
            "node": f"front-{self.host}",
            "zone": self.zone,
            "zones": json.dumps(REGIONS),
            "listen.front": self.front,
            "listen.ready": self.ready,
            "listen.directory": self.directory,
            "listen.control": self.control,
            "seeds": ",".join(gateway.control for gateway in self.deployment.gateways[:3]),
            "platform.address": self.deployment.store_address,
            "bootstrap": "true" if first_start else "false",
        }
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        for name, text in self.deployment.role["env"].items():
            # The deploy file fixes this port, which several processes of one host cannot share.
            text = text.replace(":7750", f":{self.metrics_port}")
            for field, value in values.items():
                text = text.replace("{{" + field + "}}", value)
            if "{{" in text:
                raise CaseError(f"the deploy file has an unknown placeholder: {text}")
            environment[name] = text
        return environment

    def start(self, first_start=True, max_descriptors=None):
        """Start the process with the command of the deploy file.

        Args:
            max_descriptors: ``self.limits.max_fds`` of the settings, which the platform enforces.
        """

        def limit_descriptors():
            if max_descriptors is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))

        command, *arguments = self.deployment.role["run"].split()
        executable = sys.executable if command == "python3" else command
        path = Path(self.deployment.folder) / f"{self.host}.log"
        with path.open("ab") as log:
            self.process = subprocess.Popen(
                [executable, *arguments],
                cwd=ROOT,
                env=self._environment(first_start),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=limit_descriptors,
            )
        self.log_path = path

    async def is_ready(self):
        """Ask the readiness endpoint as the platform does."""
        try:
            return (await fetch(self.ready, "GET", "/ready"))[0] == 200
        except OSError:
            return False

    async def wait_ready(self, limit_s=20.0):
        """Wait until the gateway is ready."""
        end_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end_s or self.process.poll() is not None:
                raise CaseError(f"{self.host} is not ready: {self.log_path.read_text()[-2000:]}")
            await asyncio.sleep(0.1)

    def resident_mb(self):
        """Return the memory in use, 0 once the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/statm") as statm:
                return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except OSError:
            return 0.0

    def descriptors(self):
        """Return the number of open descriptors, 0 once the process has ended."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0


class Deployment:
    """Store, upstreams and gateways of a small deployment; ends all it started."""

    def __init__(self, record):
        """Read the deploy file."""
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            (self.role,) = tomllib.load(file)["roles"].values()
        if not (ROOT / "target" / "deps" / "wagtailbay").is_dir():
            raise CaseError("the project is not built: run the build line of the deploy file")
        self.record, self.store = record, Store()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.gateways, self.upstreams = [], []
        self.version = 7

    async def start(self, gateways=1, zones=("centro-a",), max_descriptors=None):
        """Start the store and the gateways."""
        self.store_address = await self.store.serve("127.21.0.1")
        for number in range(gateways):
            zone = zones[number % len(zones)]
            self.gateways.append(Gateway(self, f"127.21.1.{number + 1}", zone))
        for gateway in self.gateways:
            gateway.start(max_descriptors=max_descriptors)
        await asyncio.gather(*(gateway.wait_ready() for gateway in self.gateways))

    async def add_upstream(self, service, zone="centro-a", **options):
        """Start an upstream."""
        host = f"127.21.2.{random.randrange(1, 250)}"
        upstream = Upstream(self.store, self.record, service, zone, host, **options)
        await upstream.start()
        self.upstreams.append(upstream)
        return upstream

    def configure(self, routes, services, tenants=(), **limits):
        """Write a configuration as the operator does."""
        self.version += 3
        default_limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        }
        spec = {
            "version": f"{self.version:08x}",
            "routes": list(routes),
            "services": list(services),
            "limits": default_limits | limits,
            "tenants": list(tenants),
        }
        self.store.write("config", "main", spec=spec)

    async def stop(self):
        """End every process that was started."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.wait()
        self.temporary.cleanup()


def service_rule(name):
    """Return a service of a configuration."""
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 360,
        "protocol": "h1",
        "tls": False,
        "cold": "3s",
        "cold_per_s": 6.4,
    }


def route_rule(name, service, kind, timeout="4000ms", **options):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "tesis.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout": timeout,
        "latency_goal": "2000ms",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": True,
        "sticky": False,
        "home_regions": [],
    } | options


async def connect(address):
    """Open a connection to an address."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
    return HttpConnection(reader, writer)


def request_bytes(method, path, request_id, body=b"", deadline_ms=4000, **headers):
    """Encode a client's request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: tesis.example", f"Request-Id: {request_id}"]
    lines += [f"Deadline-Ms: {deadline_ms}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines += [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(connection, data):
    """Send a request and return status, headers and body; raise OSError if the answer is cut."""
    connection.writer.write(data)
    try:
        head = await connection.read_head()
        if head is None:
            raise ConnectionResetError("closed without an answer")
        status = int(head[0].split(" ")[1])
        return status, head[1], await connection.read_body(head[1])
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the answer was cut") from error


async def fetch(address, method, path):
    """Send one request on a new connection."""
    connection = await connect(address)
    try:
        return await exchange(connection, request_bytes(method, path, "probe"))
    except TimeoutError as error:
        raise ConnectionResetError("no answer") from error
    finally:
        connection.writer.close()


def run_case(folder, case):
    """Run a case and return the exit status: 0 held, 1 broken, 2 could not run.

    Args:
        case: Coroutine function of a deployment, a record and whether to bring the disruption;
            returns a description of what broke the rule, or an empty text.
    """

    async def run():
        record = Record(Path(folder) / "record.txt")
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(
                case(deployment, record, os.environ.get("TROUBLE", "1") != "0"), 110.0
            )
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(run())
    except (CaseError, OSError, TimeoutError) as error:
        print(f"the case could not run: {type(error).__name__}: {error}")
        return 2
    print(f"BROKEN: {broken}" if broken else "held")
    return 1 if broken else 0
