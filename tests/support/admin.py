"""Administration API for tests, with entry VMs that serve only their status."""

import hashlib
import json
from typing import Any

import trio
from attrs import define, field

from wagtailbay.admin import AdminHandler, build_handler
from wagtailbay.audit import AuditWriter
from wagtailbay.store import VmRecord
from wagtailbay.transport import HttpServer, Reply, Request, fetch
from wagtailbay_bench.memory_store import MemoryStore

TOKENS = {"ana": "token-of-ana", "luis": "token-of-luis"}
NOW_UNIX_S = 1_796_385_600.0


@define
class AdminTestServer:
    """Runs an in-memory store, an admin server and entry VMs on free loopback ports.

    Attributes:
        statuses: The status that each VM reports, by VM name; tests change it.
    """

    store: MemoryStore = field(factory=MemoryStore)
    address: str = ""
    statuses: dict[str, dict[str, Any]] = field(factory=dict)
    handler: AdminHandler | None = None
    writer: AuditWriter | None = None
    time_unix_s: float = NOW_UNIX_S
    withdrawal_wait_ms: int = 0

    def _unix_time_s(self) -> float:
        """Return a time that advances by 1 s per call, so that audit records sort in order."""
        self.time_unix_s += 1
        return self.time_unix_s

    async def start(self, nursery: trio.Nursery, vms: int = 0) -> "AdminTestServer":
        """Start the server and the given number of entry VMs that have applied all revisions."""
        self.writer = AuditWriter(self.store)
        digests = {who: hashlib.sha256(t.encode()).hexdigest() for who, t in TOKENS.items()}
        self.handler = build_handler(
            self.store,
            self.writer,
            digests,
            {},
            trio.current_time,
            self._unix_time_s,
            status_timeout_ms=500,
            withdrawal_wait_ms=self.withdrawal_wait_ms,
        )
        self.address = await self._serve(nursery, self.handler.handle)
        nursery.start_soon(self.writer.run)
        for number in range(1, vms + 1):
            await self.add_vm(nursery, f"vm-{number}")
        return self

    async def _serve(self, nursery: trio.Nursery, handle: Any) -> str:
        host, port = await nursery.start(HttpServer(handle).serve, ("127.0.0.1", 0))
        return f"{host}:{port}"

    async def add_vm(self, nursery: trio.Nursery, vm: str, revision: int = 1_000_000) -> None:
        """Start an entry VM that reports the given revision and add it to the platform's list."""
        self.statuses[vm] = {"vm": vm, "state": "live", "revision": revision}

        async def handle(request: Request, reply: Reply) -> None:
            await reply.send_json(200, self.statuses[vm])

        address = await self._serve(nursery, handle)
        self.store.vm_records += (VmRecord(vm, address, "a1", "live"),)

    async def request(
        self, method: str, path: str, body: Any = None, who: str | None = "ana"
    ) -> tuple[int, Any]:
        """Send a request as an operator, or without a token; return the status and decoded body."""
        headers = (("Authorization", f"Bearer {TOKENS.get(who, who)}"),) if who else ()
        data = (
            body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        )
        result = await fetch(self.address, Request(method, path, headers, data), 5_000)
        response = result.unwrap()
        return response.status, json.loads(response.body)

    async def submit(
        self, name: str, document: Any, expected_version: int = 0, who: str = "ana"
    ) -> tuple[int, Any]:
        """Submit a document and return the status and decoded body."""
        body = {"document": document, "expected_version": expected_version, "reason": "test"}
        return await self.request("PUT", f"/v1/documents/{name}", body, who)

    async def audit_records(self) -> list[dict[str, Any]]:
        """Wait until all audit records are written and return them, newest first."""
        await self.writer.flush()
        return (await self.request("GET", "/v1/audit"))[1]["records"]
