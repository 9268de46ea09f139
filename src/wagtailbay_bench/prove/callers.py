"""Callers that send requests to the VMs and record each result in the history."""

import json
import random
import time
from typing import Any

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.transport import ConnectionPool, Request
from wagtailbay_bench.caller_pool import CallerPool
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.prove.const import (
    CATALOG_CALLERS,
    EXPORTS_CALLERS,
    MEAN_CALLER_PAUSE_S,
    MEAN_CRASH_PAUSE_S,
    RECORDS_CALLERS,
    REQUEST_TIMEOUT_MS,
)
from wagtailbay_bench.prove.models import History, SentRequest
from wagtailbay_bench.prove.traffic import (
    CrashTraffic,
    PlannedRequest,
    ReadTraffic,
    RecordsTraffic,
    Traffic,
)


@define
class Caller:
    """Caller that sends its requests one at a time, each to a VM chosen at random."""

    number: int
    deployment: Deployment
    history: History
    traffic: Traffic
    rng: random.Random
    pool: CallerPool = field(factory=lambda: CallerPool(ConnectionPool(max_idle_per_address=1)))
    request_count: int = 0

    async def run(self, until_s: float) -> None:
        """Send requests until the monotonic time `until_s`."""
        while time.monotonic() < until_s:
            await self._send_request()
            await trio.sleep(self.traffic.pause_s * self.rng.uniform(0.2, 1.8))
        await self.pool.close()

    async def _send_request(self) -> None:
        self.request_count += 1
        trace = f"{self.history.seed}-{self.number}-{self.request_count}"
        planned = self.traffic.plan(trace, self.rng)
        vm = self.rng.choice(list(self.deployment.vm_addresses))
        sent_unix_s = time.time()
        result = await self.pool.fetch(
            self.deployment.vm_addresses[vm], encode_request(planned, trace), REQUEST_TIMEOUT_MS
        )
        status, code, run_state, response_body = parse_result(result)
        self.history.requests.append(
            SentRequest(
                trace,
                vm,
                planned.path,
                planned.workspace,
                planned.key_name,
                planned.idempotency_key,
                sent_unix_s,
                time.time(),
                status,
                code,
                run_state,
                response_body,
                planned.service,
                len(result.ok_value.body) if isinstance(result, Ok) else 0,
            )
        )


def build_callers(deployment: Deployment, history: History) -> list[Caller]:
    """Return the callers of all services and register the crashing path in the history."""
    workspaces = ("large", "small", "flood")
    crashing_path = f"/crash/{history.seed}"
    traffic_by_caller: list[Traffic] = [
        *(RecordsTraffic(workspaces[n % 3], MEAN_CALLER_PAUSE_S) for n in range(RECORDS_CALLERS)),
        *(ReadTraffic("catalog", "mover", MEAN_CALLER_PAUSE_S) for _ in range(CATALOG_CALLERS)),
        *(ReadTraffic("exports", "bulk", MEAN_CALLER_PAUSE_S) for _ in range(EXPORTS_CALLERS)),
        CrashTraffic(crashing_path, MEAN_CRASH_PAUSE_S),
    ]
    history.crashing_paths.add(crashing_path)
    return [
        Caller(number, deployment, history, traffic, random.Random(f"{history.seed}/{number}"))
        for number, traffic in enumerate(traffic_by_caller)
    ]


def encode_request(planned: PlannedRequest, trace: str) -> Request:
    """Return the HTTP request; one with an idempotency key is a POST."""
    headers = (("Authorization", f"Bearer {planned.key}"), ("X-Trace", trace))
    path = f"/{planned.service}{planned.path}"
    if not planned.idempotency_key:
        return Request("GET", path, headers, b"")
    headers += (("Idempotency-Key", planned.idempotency_key),)
    return Request("POST", path, headers, b"{}")


def parse_result(result: Any) -> tuple[int, str, str, dict[str, Any]]:
    """Return the status, error code, run state and decoded response body of a result."""
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
