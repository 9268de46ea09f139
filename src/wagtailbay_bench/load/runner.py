"""Run a load plan: send each request at its scheduled time and record its result."""

import json
import random
import sys
import time
from collections.abc import Mapping, Sequence

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.transport import Request
from wagtailbay_bench.load.client import CallResult, LocatingClient
from wagtailbay_bench.load.const import MAX_IN_FLIGHT
from wagtailbay_bench.load.models import LoadPlan, Sample, TrafficClass


@define
class LoadRunner:
    """Runs one load plan.

    Attributes:
        clients: Client of each traffic class name and availability zone.
        skipped: Requests that were not sent because MAX_IN_FLIGHT requests were in flight.
        started_s: Monotonic time of the start.
    """

    plan: LoadPlan
    keys: Mapping[str, str]
    seeds: Mapping[str, Sequence[str]]
    samples: list[Sample] = field(factory=list)
    clients: dict[tuple[str, str], LocatingClient] = field(factory=dict)
    in_flight: int = 0
    skipped: int = 0
    started_s: float = 0.0

    async def run(self, show_progress: bool) -> None:
        """Send all requests, wait for their responses and close the connections."""
        self.started_s = time.monotonic()
        async with trio.open_nursery() as nursery:
            with trio.CancelScope() as background_scope:
                async with trio.open_nursery() as background:
                    for scheduled in self.plan.scheduled_actions:
                        background.start_soon(self._run_action, scheduled.at_s, scheduled.action)
                    if show_progress:
                        background.start_soon(self._show_progress)
                    await self._send_all(nursery)
                    background_scope.cancel()
        for client in self.clients.values():
            await client.pool.close()

    async def _run_action(self, at_s: float, action) -> None:
        await trio.sleep(max(0.0, self.started_s + at_s - time.monotonic()))
        await action()

    async def _show_progress(self) -> None:
        while True:
            elapsed_s = time.monotonic() - self.started_s
            fraction = min(1.0, elapsed_s / self.plan.duration_s)
            bar = "#" * round(40 * fraction)
            line = f"\r[{bar:<40}] {fraction:4.0%} {len(self.samples)} responses"
            print(line, end="", file=sys.stderr, flush=True)
            await trio.sleep(0.5)

    async def _send_all(self, nursery: trio.Nursery) -> None:
        for number, (due_s, traffic_class) in enumerate(build_arrivals(self.plan)):
            await trio.sleep(max(0.0, self.started_s + due_s - time.monotonic()))
            if self.in_flight >= MAX_IN_FLIGHT:
                self.skipped += 1
                continue
            self.in_flight += 1
            nursery.start_soon(self._send, number, due_s, traffic_class)

    async def _send(self, number: int, due_s: float, traffic_class: TrafficClass) -> None:
        zones = traffic_class.availability_zones
        client = self._get_client(traffic_class.name, zones[number % len(zones)])
        idempotency_key = (
            "" if traffic_class.idempotent else f"{self.plan.seed}-{traffic_class.name}-{number}"
        )
        request = self._build_request(number, traffic_class, idempotency_key)
        result = await client.call(request, self.plan.timeout_ms)
        latency_ms = (time.monotonic() - self.started_s - due_s) * 1000
        self.samples.append(build_sample(traffic_class, due_s, latency_ms, idempotency_key, result))
        self.in_flight -= 1

    def _get_client(self, name: str, zone: str) -> LocatingClient:
        client = self.clients.get((name, zone))
        if client is None:
            client = LocatingClient(f"{name}-{zone}", zone, self.seeds[zone], time.monotonic)
            self.clients[(name, zone)] = client
        return client

    def _build_request(
        self, number: int, traffic_class: TrafficClass, idempotency_key: str
    ) -> Request:
        headers = [("Authorization", f"Bearer {self.keys[traffic_class.workspace]}")]
        headers.append(("Request-Timeout-Ms", str(self.plan.timeout_ms)))
        if idempotency_key:
            headers.append(("Idempotency-Key", idempotency_key))
        path = f"/{traffic_class.service}{traffic_class.path.format(n=number)}"
        body = b"x" * traffic_class.body_bytes
        return Request(traffic_class.method, path, tuple(headers), body)


def build_arrivals(plan: LoadPlan) -> list[tuple[float, TrafficClass]]:
    """Schedule all requests, with arrivals of each class as a Poisson process.

    The same plan and seed always give the same schedule.
    """
    arrivals = []
    for index, traffic_class in enumerate(plan.classes):
        rng = random.Random(f"{plan.seed}/{index}/{traffic_class.name}")
        due_s = rng.expovariate(traffic_class.rate_per_s)
        while due_s < plan.duration_s:
            arrivals.append((due_s, traffic_class))
            due_s += rng.expovariate(traffic_class.rate_per_s)
    arrivals.sort(key=lambda arrival: arrival[0])
    return arrivals[: plan.max_requests]


def build_sample(
    traffic_class: TrafficClass,
    due_s: float,
    latency_ms: float,
    idempotency_key: str,
    result: CallResult,
) -> Sample:
    """Build the sample of one request from the result of its call."""
    status, code, run, vm, target, version = 0, "", "", "", "", ""
    match result.outcome:
        case Err(error):
            code = f"transport: {error.kind.name.lower()}"
        case Ok(response):
            status = response.status
            headers = {name.lower(): value for name, value in response.headers}
            vm = headers.get("wagtailbay-vm", "")
            target = headers.get("wagtailbay-target", "")
            data = _parse_json_object(response.body)
            error = data.get("error")
            version = data.get("version", "")
            if isinstance(error, dict):
                code, run = error.get("code", ""), error.get("run", "")
    return Sample(
        traffic_class.name,
        traffic_class.workspace,
        due_s,
        latency_ms,
        status,
        code,
        run,
        vm,
        target,
        version,
        idempotency_key,
        result.attempts,
    )


def _parse_json_object(body: bytes) -> dict:
    try:
        data = json.loads(body)
    except ValueError:
        return {}
    return data if isinstance(data, dict) else {}


async def run_load(
    plan: LoadPlan,
    keys: Mapping[str, str],
    seeds: Mapping[str, Sequence[str]],
    show_progress: bool = False,
) -> list[Sample]:
    """Run a load plan against entry VMs and return a sample of each request.

    Args:
        keys: API key of each workspace.
        seeds: Addresses of the entry VMs that new clients contact first, by availability zone.
    """
    runner = LoadRunner(plan, keys, seeds)
    await runner.run(show_progress)
    return runner.samples
