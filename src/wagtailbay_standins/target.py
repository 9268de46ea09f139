"""Stand-in for targets; one process can host many.

Each target has slots, a queue and a cold start. ``GET /health`` and ``GET /load`` return its health
and load, ``PUT /standin/behaviour`` changes any fields of Behaviour, and ``GET /standin/runs``
returns the number of runs per idempotency key and all runs with their times.
"""

import json
import os
import sys
import time
from collections import Counter
from functools import partial
from typing import Any

import trio
from attrs import asdict, define, evolve, field, frozen

from wagtailbay.logs import log_event, start_logging
from wagtailbay.settings import load_settings_or_exit, setting
from wagtailbay.settings.checks import split_address
from wagtailbay.transport import Headers, HttpServer, Reply, Request
from wagtailbay.transport.server import CallerDisconnectedError
from wagtailbay_standins.copies import write_again

PROGRAM = "wagtailbay-standin-target"
MAX_RECORDED_RUNS = 200_000


@frozen
class Run:
    """A request that a target ran; trace is the caller's ``X-Trace`` header."""

    unix_s: float
    trace: str
    workspace: str
    version: str
    target: str


@frozen
class Behaviour:
    """Configurable behaviour of a target.

    Attributes:
        service_time_ms: Time for which each request occupies a slot.
        cold_requests: Number of first requests that take cold_factor times as long.
        error_ppm: Share of requests that fail with status 500.
        slow_factor: Factor by which the service time is multiplied.
        bad_path_prefix: Errors and slow_factor apply only to paths with this prefix.
        bad_after_requests: Errors and slow_factor apply only after this many requests.
        bad_above_in_flight: Errors and slow_factor apply only above this many requests in flight.
        version: Overrides the version that the target was started with.
        reported_load: False value of the load to report; None reports the actual load.
        load_in_health: Whether health responses include the load.
        frozen_answers: Whether requests are accepted but never answered.
        truncate_ppm: Share of responses that are truncated in the middle of the body.
        repeat_refusal_after_ms: Time after which each refusal is written once more on its
            connection, with the ID of its request; None writes it once.
    """

    slots: int = 6
    queue: int = 12
    service_time_ms: float = 5.0
    connection_cost_ms: float = 1.0
    probe_cost_ms: float = 0.0
    cold_requests: int = 0
    cold_factor: float = 4.0
    error_ppm: int = 0
    slow_factor: float = 1.0
    bad_path_prefix: str = "/"
    bad_after_requests: int = 0
    bad_above_in_flight: int = 0
    reported_load: float | None = None
    load_in_health: bool = True
    healthy: bool = True
    draining: bool = False
    frozen_answers: bool = False
    truncate_ppm: int = 0
    repeat_refusal_after_ms: float | None = None
    body_bytes: int = 0
    version: str | None = None


@define
class TargetStandin:
    """Serves requests as one target."""

    target: str
    version: str
    behaviour: Behaviour = field(factory=Behaviour)
    runs: Counter = field(factory=Counter)
    history: list[Run] = field(factory=list)
    running_traces: Counter = field(factory=Counter)
    cut_traces: set[str] = field(factory=set)
    seen_headers: Counter = field(factory=Counter)
    served: int = 0
    in_flight: int = 0
    shed: int = 0
    error_accumulator_ppm: int = 0
    truncate_accumulator_ppm: int = 0
    slot_limiter: trio.CapacityLimiter = field(factory=lambda: trio.CapacityLimiter(6))
    on_crash: Any = None

    async def handle(self, request: Request, reply: Reply) -> None:
        """Dispatch a request; shed it if all slots and the queue are full."""
        path = request.path.partition("?")[0]
        if path.startswith("/standin/"):
            await self._handle_control(request, path, reply)
        elif path == "/health":
            await trio.sleep(self.behaviour.probe_cost_ms / 1000)
            state = "draining" if self.behaviour.draining else "ok"
            status = 200 if self.behaviour.healthy else 503
            load = self._load_report() if self.behaviour.load_in_health else {}
            await reply.send_json(status, {"state": state, "version": self.version} | load)
        elif path == "/load":
            await reply.send_json(200, self._load_report())
        elif self.in_flight >= self.behaviour.slots + self.behaviour.queue:
            await self._refuse(request, reply)
        else:
            await self._run(request, path, reply)

    async def _refuse(self, request: Request, reply: Reply) -> None:
        self.shed += 1
        refusal = {"error": "overloaded"}
        headers = (("Wagtailbay-Run", "not-run"), *_request_id_header(request))
        await reply.send_json(503, refusal, headers)
        if self.behaviour.repeat_refusal_after_ms is not None:
            await trio.sleep(self.behaviour.repeat_refusal_after_ms / 1000)
            await write_again(reply, 503, headers, refusal)

    def _load_report(self) -> dict[str, float]:
        reported = self.behaviour.reported_load
        in_flight = self.in_flight if reported is None else reported
        return {"in_flight": in_flight, "slots": self.behaviour.slots}

    async def _run(self, request: Request, path: str, reply: Reply) -> None:
        """Wait for a free slot and run a request in it."""
        trace = request.header("X-Trace") or ""
        self.running_traces[trace] += 1
        self.in_flight += 1
        self.slot_limiter.total_tokens = self.behaviour.slots
        try:
            async with self.slot_limiter:
                await self._serve(request, path, reply)
        finally:
            self.in_flight -= 1
            self.running_traces[trace] -= 1

    async def _serve(self, request: Request, path: str, reply: Reply) -> None:
        self.served += 1
        self.runs[request.header("Idempotency-Key") or "-"] += 1
        self.seen_headers.update(name.lower() for name, _ in request.headers)
        if len(self.history) < MAX_RECORDED_RUNS:
            trace = request.header("X-Trace") or ""
            workspace = request.header("Wagtailbay-Workspace") or ""
            self.history.append(Run(time.time(), trace, workspace, self.version, self.target))
        if path.startswith("/crash") and self.on_crash is not None:
            self.cut_traces.update(
                trace for trace, running in self.running_traces.items() if running > 0
            )
            self.on_crash()
            raise CallerDisconnectedError
        is_degraded = self._is_degraded(path)
        behaviour = self.behaviour
        service_time_ms = behaviour.service_time_ms * (
            behaviour.slow_factor if is_degraded else 1.0
        )
        if self.served <= behaviour.cold_requests:
            service_time_ms *= behaviour.cold_factor
        await trio.sleep(service_time_ms / 1000)
        if behaviour.frozen_answers:
            await trio.sleep_forever()
        await self._respond(request, is_degraded, reply)

    def _is_degraded(self, path: str) -> bool:
        behaviour = self.behaviour
        return (
            path.startswith(behaviour.bad_path_prefix)
            and self.served > behaviour.bad_after_requests
            and self.in_flight > behaviour.bad_above_in_flight
        )

    async def _respond(self, request: Request, is_degraded: bool, reply: Reply) -> None:
        self.error_accumulator_ppm += self.behaviour.error_ppm if is_degraded else 0
        if self.error_accumulator_ppm >= 1_000_000:
            self.error_accumulator_ppm -= 1_000_000
            await reply.send_json(500, {"error": "internal"}, _request_id_header(request))
            return
        payload = {
            "target": self.target,
            "version": self.version,
            "path": request.path,
            "request_id": request.header("Wagtailbay-Request-Id"),
            "workspace": request.header("Wagtailbay-Workspace"),
            "idempotency_key": request.header("Idempotency-Key"),
            "trace": request.header("X-Trace"),
            "padding": "x" * self.behaviour.body_bytes,
        }
        self.truncate_accumulator_ppm += self.behaviour.truncate_ppm
        if self.truncate_accumulator_ppm >= 1_000_000:
            self.truncate_accumulator_ppm -= 1_000_000
            self.cut_traces.add(request.header("X-Trace") or "")
            body = json.dumps(payload).encode()
            headers = (("Content-Length", str(len(body))), *_request_id_header(request))
            await reply.start(200, headers)
            await reply.send(body[: len(body) // 2])
            raise CallerDisconnectedError
        await reply.send_json(200, payload, _request_id_header(request))

    async def _handle_control(self, request: Request, path: str, reply: Reply) -> None:
        if path == "/standin/behaviour":
            self.behaviour = evolve(self.behaviour, **json.loads(request.body))
            self.version = self.behaviour.version or self.version
            log_event("behaviour_set", target=self.target, changes=request.body.decode())
        counts = {"served": self.served, "shed": self.shed, "in_flight": self.in_flight}
        payload: dict[str, Any] = {**counts, "seen_headers": dict(self.seen_headers)}
        if path == "/standin/runs":
            payload["runs"] = dict(self.runs)
            payload["cut_traces"] = sorted(self.cut_traces)
            payload["history"] = [asdict(run) for run in self.history]
        await reply.send_json(200, payload)


def _request_id_header(request: Request) -> Headers:
    return (("Wagtailbay-Request-Id", request.header("Wagtailbay-Request-Id") or ""),)


async def run_target(
    standin: TargetStandin, address: str, restart_delay_ms: int, *, task_status
) -> None:
    """Serve one target; a crash closes all its sockets until restart_delay_ms have passed."""
    while True:
        server = HttpServer(standin.handle)
        async with trio.open_nursery() as nursery:
            standin.on_crash = nursery.cancel_scope.cancel
            bound_address = await nursery.start(server.serve, split_address(address))
            address = f"{bound_address[0]}:{bound_address[1]}"
            log_event("listening", target=standin.target, address=address)
            task_status.started(address)
            task_status = trio.TASK_STATUS_IGNORED
        log_event("crashed", target=standin.target)
        standin.in_flight = 0
        await trio.sleep(restart_delay_ms / 1000)


@frozen
class TargetSettings:
    """Run stand-ins for targets."""

    targets: str = setting(help_text="name@address@version, separated by commas")
    behaviour: str = setting(
        help_text="initial behaviour of all targets, as a JSON object", default="{}"
    )
    restart_after_crash_ms: int = setting(
        help_text="time in ms until a crashed target listens again", default=1_000, parse=int
    )


async def run(settings: TargetSettings) -> None:
    """Serve all targets until the process is terminated."""
    behaviour = Behaviour(**json.loads(settings.behaviour))
    async with trio.open_nursery() as nursery:
        for item in settings.targets.split(","):
            name, address, version = item.split("@")
            standin = TargetStandin(name, version, behaviour)
            await nursery.start(run_target, standin, address, settings.restart_after_crash_ms)
        log_event("all_listening")


def main() -> None:
    """Load the settings and run the target stand-in."""
    settings = load_settings_or_exit(PROGRAM, TargetSettings, os.environ)
    start_logging(sys.stderr, PROGRAM)
    trio.run(partial(run, settings))


if __name__ == "__main__":
    main()
