"""Send the requests of a process history and record what came back."""

import json
import random
import time
from typing import Any

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.transport import ConnectionPool, Request
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.prove.const import CALLER_PAUSE_S, REQUEST_TIMEOUT_MS
from wagtailbay_bench.prove.models import History, SentRequest
from wagtailbay_bench.prove.scene import KEYS, SPARE_KEYS


@define
class Caller:
    """Send one request after another to VMs chosen at random; deposits are sent again."""

    number: int
    deployment: Deployment
    history: History
    random: random.Random
    pool: ConnectionPool = field(factory=lambda: ConnectionPool(max_idle_per_address=1))
    sent: int = 0
    repeatable: list[str] = field(factory=list)

    async def run(self, until_s: float) -> None:
        """Send until the time is over."""
        while time.monotonic() < until_s:
            await self._send_one()
            workspace_pause_s = CALLER_PAUSE_S * self.random.uniform(0.2, 1.8)
            await trio.sleep(workspace_pause_s)
        await self.pool.close()

    async def _send_one(self) -> None:
        self.sent += 1
        trace = f"{self.history.seed}-{self.number}-{self.sent}"
        workspace = ("large", "small", "flood")[self.number % 3]
        spare = self.random.random() < 0.3
        key_name = f"{workspace}{'-2' if spare else ''}"
        key = (SPARE_KEYS if spare else KEYS)[workspace]
        idempotency_key, path = "", f"/item/{trace}"
        method, body = "GET", b""
        if self.random.random() < 0.25:
            idempotency_key = self._idempotency_key(trace)
            method, path, body = "POST", f"/deposit/{idempotency_key}", b"{}"
        headers = (("Authorization", f"Bearer {key}"), ("X-Trace", trace))
        if idempotency_key:
            headers += (("Idempotency-Key", idempotency_key),)
        vm = self.random.choice(list(self.deployment.vm_addresses))
        request = Request(method, f"/records{path}", headers, body)
        began_s = time.time()
        result = await self.pool.fetch(
            self.deployment.vm_addresses[vm], request, REQUEST_TIMEOUT_MS
        )
        status, code, run, answer = read_answer(result)
        self.history.requests.append(
            SentRequest(
                trace,
                vm,
                path,
                workspace,
                key_name,
                idempotency_key,
                began_s,
                time.time(),
                status,
                code,
                run,
                answer,
            )
        )

    def _idempotency_key(self, trace: str) -> str:
        """Return a new key, or now and then an old one as a caller that sends again."""
        if self.repeatable and self.random.random() < 0.4:
            return self.random.choice(self.repeatable)
        self.repeatable.append(f"k-{trace}")
        return self.repeatable[-1]


def read_answer(result: Any) -> tuple[int, str, str, dict[str, Any]]:
    """Return status, code, run and decoded answer of a result."""
    match result:
        case Err(error):
            return 0, error.kind.name.lower(), "", {}
        case Ok(response):
            try:
                data = json.loads(response.body)
            except ValueError:
                return response.status, "not JSON", "", {}
            error = data.get("error") if isinstance(data, dict) else None
            if isinstance(error, dict):
                return response.status, error.get("code", ""), error.get("run", ""), {}
            return response.status, "", "", data
