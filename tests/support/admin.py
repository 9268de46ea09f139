"""Run the administration API in a test, with entry VMs that only give a status."""

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
    """Hold a store, an admin server and entry VMs on free ports of the loopback interface."""

    store: MemoryStore = field(factory=MemoryStore)
    address: str = ""
    statuses: dict[str, dict[str, Any]] = field(factory=dict)
    handler: AdminHandler | None = None
    writer: AuditWriter | None = None
    time_unix_s: float = NOW_UNIX_S
    withdrawal_wait_ms: int = 0

    def _unix_time_s(self) -> float:
        """Return a later time at each call, so that audit records keep their order."""
        self.time_unix_s += 1
        return self.time_unix_s

    async def start(self, nursery: trio.Nursery, vms: int = 0) -> "AdminTestServer":
        """Start the server and some entry VMs that have applied everything."""
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
        """Start an entry VM that tells the given revision."""
        self.statuses[vm] = {"vm": vm, "state": "live", "revision": revision}

        async def handle(request: Request, reply: Reply) -> None:
            await reply.send_json(200, self.statuses[vm])

        address = await self._serve(nursery, handle)
        self.store.vm_records += (VmRecord(vm, address, "a1", "live"),)

    async def request(
        self, method: str, path: str, body: Any = None, who: str | None = "ana"
    ) -> tuple[int, Any]:
        """Send one request as an operator and return status and decoded body."""
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
        """Submit a document."""
        body = {"document": document, "expected_version": expected_version, "reason": "test"}
        return await self.request("PUT", f"/v1/documents/{name}", body, who)

    async def audit_records(self) -> list[dict[str, Any]]:
        """Return all audit records once they are written, newest first."""
        await self.writer.flush()
        return (await self.request("GET", "/v1/audit"))[1]["records"]
