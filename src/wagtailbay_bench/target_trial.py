"""Simulate targets in virtual time that receive requests from production choosers."""

import json
import math
import random
from typing import Any

import trio
from attrs import define, field, frozen
from result import Err, Ok, Result

from wagtailbay.config import (
    AvailabilityZone,
    ConfigView,
    FleetDocument,
    RegionCapacity,
    Route,
    ServiceDocument,
    Target,
)
from wagtailbay.health import HealthAggregator, HealthMonitor
from wagtailbay.membership import FactTable, Member, VmIdentity, VmState
from wagtailbay.steer import (
    AttemptOutcome,
    AttemptReport,
    Chooser,
    FullWeights,
    LeastConnectionsChooser,
    RoundRobinChooser,
    TargetQuery,
    UnlimitedBudgets,
    build_chooser,
)
from wagtailbay.transport import Request, Response, TransportError

ZONES = ("a1", "a2")
FLEET = FleetDocument(10, tuple(AvailabilityZone(zone, "a") for zone in ZONES))
ROUTE = Route("read", "/")
SLOTS = (3, 4, 6, 9)
QUEUE_LIMIT = 12
# At this service time, 6,000 requests outlast slow start and several probe intervals.
MEAN_SERVICE_TIME_S = 0.1
DEADLINE_S = 2.0
MAX_ATTEMPTS = 3
# One-way latency between availability zones.
ZONE_LATENCY_S = 0.001
EXCHANGE_INTERVAL_S = 1.0


@frozen
class Scenario:
    """Targets and traffic of a trial.

    Attributes:
        utilisation: Offered load divided by the capacity of all slots.
        slow_target_factor: Factor by which the service time of the first target is longer.
        underreporting_target: Whether the first target always reports zero requests in flight and
            serves with only a third of its configured slots.
        report_delay_s: Age of the load that targets report.
        cold_targets: Number of targets that join after a third of the requests and take 4 times
            as long for their first 60 requests.
    """

    name: str
    utilisation: float = 0.7
    slow_target_factor: float = 1.0
    underreporting_target: bool = False
    report_delay_s: float = 0.0
    cold_targets: int = 0


SCENARIOS = (
    Scenario("even"),
    Scenario("even-high", utilisation=0.9),
    Scenario("slow-target", slow_target_factor=5.0, utilisation=0.6),
    Scenario("lying-load", underreporting_target=True),
    Scenario("stale-reports", report_delay_s=3.0),
    Scenario("cold-start", cold_targets=3, utilisation=0.6),
)


@define
class SimulatedTarget:
    """Target that queues and serves requests in virtual time.

    Attributes:
        underreports_load: Whether probes always report zero requests in flight.
        cold_requests_left: Number of next requests that take 4 times as long.
        load_history: Time and number of requests in flight, as far back as the report delay needs.
    """

    target: Target
    slots: int
    rng: random.Random
    mean_service_time_s: float = MEAN_SERVICE_TIME_S
    underreports_load: bool = False
    report_delay_s: float = 0.0
    cold_requests_left: int = 0
    in_flight: int = 0
    shed_count: int = 0
    load_history: list[tuple[float, int]] = field(factory=lambda: [(0.0, 0)])
    capacity: trio.CapacityLimiter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the limiter for concurrently served requests."""
        self.capacity = trio.CapacityLimiter(self.slots)

    async def serve(self) -> AttemptOutcome:
        """Serve one request, or shed it if all slots and the queue are full."""
        if self.in_flight >= self.slots + QUEUE_LIMIT:
            self.shed_count += 1
            return AttemptOutcome.SHED
        self._change_in_flight(1)
        try:
            async with self.capacity:
                service_time_factor = 4.0 if self.cold_requests_left > 0 else 1.0
                self.cold_requests_left -= 1
                await trio.sleep(
                    self.rng.expovariate(1 / self.mean_service_time_s) * service_time_factor
                )
        finally:
            self._change_in_flight(-1)
        return AttemptOutcome.ANSWERED

    def _change_in_flight(self, change: int) -> None:
        self.in_flight += change
        now_s = trio.current_time()
        self.load_history.append((now_s, self.in_flight))
        while len(self.load_history) > 1 and self.load_history[1][0] <= now_s - self.report_delay_s:
            self.load_history.pop(0)

    def answer_probe(self, path: str) -> Response:
        """Answer a health or load probe."""
        if path == "/health":
            return Response(200, (), b'{"state": "ok"}')
        in_flight = 0 if self.underreports_load else self.load_history[0][1]
        body = {"in_flight": in_flight, "slots": self.target.slots}
        return Response(200, (), json.dumps(body).encode())


@define
class SimulatedMembers:
    """Roster whose VMs are always live."""

    vms: dict[str, str]

    def with_state(self, *states: VmState) -> list[Member]:
        """Return all VMs as live members, whatever states are requested."""
        return [
            Member(VmIdentity(vm, 1, "", "", zone), VmState.LIVE, 1)
            for vm, zone in self.vms.items()
        ]


@define
class TrialResults:
    """Results of all requests of a trial.

    Attributes:
        latencies_ms: Latencies of the answered requests.
        refused: Number of requests that were neither answered nor timed out.
        timed_out: Number of requests that exceeded the deadline.
        sheds: Number of attempts that targets shed.
    """

    latencies_ms: list[float] = field(factory=list)
    refused: int = 0
    timed_out: int = 0
    sheds: int = 0

    def quantile_ms(self, quantile: float) -> float:
        """Return a latency quantile of the answered requests."""
        ordered = sorted(self.latencies_ms) or [math.nan]
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


@define
class TargetTrial:
    """Simulation of one scenario with one kind of chooser on ten VMs."""

    scenario: Scenario
    chooser: str
    seed: int
    requests: int
    targets: list[SimulatedTarget] = field(factory=list)
    choosers: list[Chooser] = field(factory=list)
    monitors: list[HealthMonitor] = field(factory=list)
    fact_tables: list[FactTable] = field(factory=list)
    results: TrialResults = field(factory=TrialResults)
    service: ServiceDocument = field(init=False)
    vms: dict[str, str] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the targets and the VMs."""
        self.vms = {f"vm-{number}": ZONES[number % 2] for number in range(10)}
        self._build_targets()
        cold_count = self.scenario.cold_targets
        self._set_targets(self.targets[: len(self.targets) - cold_count])
        for number in range(len(self.vms)):
            self._build_vm(number)

    def _build_targets(self) -> None:
        scenario = self.scenario
        for number in range(12):
            target = Target(
                f"t{number}", f"t{number}", ZONES[number % 2], "v1", SLOTS[number // 2 % 4]
            )
            is_first = number == 0
            underreports_load = scenario.underreporting_target and is_first
            cold_requests = 60 if number >= 12 - scenario.cold_targets else 0
            self.targets.append(
                SimulatedTarget(
                    target,
                    max(1, target.slots // 3) if underreports_load else target.slots,
                    random.Random(f"{self.seed}/{number}"),
                    MEAN_SERVICE_TIME_S * (scenario.slow_target_factor if is_first else 1.0),
                    underreports_load,
                    scenario.report_delay_s,
                    cold_requests,
                )
            )

    def _set_targets(self, targets: list[SimulatedTarget]) -> None:
        capacities = (RegionCapacity("a", 1e6),)
        configured_targets = tuple(t.target for t in targets)
        self.service = ServiceDocument(
            "trial", "team", (ROUTE,), configured_targets, (), capacities
        )

    def _build_vm(self, number: int) -> None:
        vm = f"vm-{number}"
        facts, rng = FactTable(vm, 1), random.Random(f"{self.seed}/{vm}")
        self.fact_tables.append(facts)
        if self.chooser == "round-robin":
            self.choosers.append(RoundRobinChooser(FLEET, number))
        elif self.chooser == "least-connections":
            self.choosers.append(LeastConnectionsChooser(rng, FLEET))
        else:
            self._build_two_choice(vm, facts, rng)

    def _build_two_choice(self, vm: str, facts: FactTable, rng: random.Random) -> None:
        health = HealthAggregator(facts)
        budgets, weights = UnlimitedBudgets(), FullWeights()
        chooser = build_chooser(self.vms[vm], health, budgets, weights, trio.current_time, rng)
        chooser.fleet = FLEET
        self.choosers.append(chooser)
        members, clock = SimulatedMembers(self.vms), trio.current_time
        self.monitors.append(
            HealthMonitor(vm, self._view, members, facts, health, clock, rng, self._probe)
        )

    def _view(self) -> ConfigView:
        return ConfigView(FLEET, {"trial": self.service})

    async def _probe(
        self, address: str, request: Request, timeout_ms: int
    ) -> Result[Response, TransportError]:
        await trio.sleep(ZONE_LATENCY_S)
        return Ok(
            next(t for t in self.targets if t.target.target == address).answer_probe(request.path)
        )

    async def run(self) -> TrialResults:
        """Send all requests, wait until they end and return the results."""
        async with trio.open_nursery() as background:
            for monitor in self.monitors:
                background.start_soon(monitor.run)
            background.start_soon(self._exchange)
            await trio.sleep(2.0)
            async with trio.open_nursery() as callers:
                await self._send_all(callers)
            background.cancel_scope.cancel()
        self.results.sheds = sum(target.shed_count for target in self.targets)
        return self.results

    async def _exchange(self) -> None:
        """Copy the facts of each VM to all VMs once a second, with a delay of one interval."""
        while True:
            own_facts = [table.own(trio.current_time()) for table in self.fact_tables]
            await trio.sleep(EXCHANGE_INTERVAL_S)
            for table in self.fact_tables:
                for facts in own_facts:
                    table.merge(facts)

    async def _send_all(self, callers: trio.Nursery) -> None:
        rng = random.Random(self.seed)
        warm_targets = self.targets[: 12 - self.scenario.cold_targets]
        rate_per_s = self.scenario.utilisation * sum(
            t.slots / t.mean_service_time_s for t in warm_targets
        )
        for number in range(self.requests):
            if number == self.requests // 3:
                self._set_targets(self.targets)
            await trio.sleep(rng.expovariate(rate_per_s))
            callers.start_soon(self._request, rng.randrange(len(self.vms)))

    async def _request(self, vm: int) -> None:
        """Send one request and retry it at other targets when shed, as the request path does."""
        start_s, excluded, chooser = trio.current_time(), frozenset(), self.choosers[vm]
        for attempt in range(MAX_ATTEMPTS):
            query = TargetQuery(
                self.service, ROUTE, "w", None, excluded, attempt, start_s + DEADLINE_S
            )
            chosen = await chooser.choose(query, trio.current_time())
            if isinstance(chosen, Err):
                break
            target = chosen.ok_value.target
            outcome, latency_s = await self._attempt(vm, target, start_s)
            report = AttemptReport(outcome, None, latency_s * 1000)
            chooser.finish(query, chosen.ok_value, report, trio.current_time())
            if outcome is AttemptOutcome.ANSWERED:
                self.results.latencies_ms.append((trio.current_time() - start_s) * 1000)
                return
            if outcome is AttemptOutcome.TIMED_OUT:
                self.results.timed_out += 1
                return
            excluded |= {target.target}
        self.results.refused += 1

    async def _attempt(self, vm: int, target: Target, start_s: float) -> tuple[Any, float]:
        started_s = trio.current_time()
        simulated_target = next(t for t in self.targets if t.target is target)
        crosses_zones = target.availability_zone != self.vms[f"vm-{vm}"]
        outcome = AttemptOutcome.TIMED_OUT
        with trio.move_on_at(start_s + DEADLINE_S):
            await trio.sleep(2 * ZONE_LATENCY_S if crosses_zones else 0.0)
            outcome = await simulated_target.serve()
        return outcome, trio.current_time() - started_s
