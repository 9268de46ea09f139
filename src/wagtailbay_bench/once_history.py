"""Run gates of several VMs against one store that loses answers, and check the history."""

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Any

import trio
import trio.testing
from attrs import define, field, frozen
from result import Err, Ok, Result

from wagtailbay.once import (
    Claim,
    ClaimState,
    IdempotencyManager,
    Outcome,
    OutcomeWriter,
    StoreCallLimiter,
    Submission,
)
from wagtailbay.refusals import Refusal, RunState
from wagtailbay.replica import ChangeSignal
from wagtailbay.store import (
    Listing,
    ObjectStore,
    OutcomeUnknown,
    StoredObject,
    StoreError,
    StoreUnavailable,
    VersionConflict,
)


@define
class FakeStore:
    """Hold objects; faults names what happens to the next calls, in order, then ``""``.

    ``refuse``: not carried out. ``lose``: carried out, not answered. ``drop``: neither.
    ``late``: answered as lost and carried out a little later.
    """

    faults: list[str] = field(factory=list)
    outage: bool = False
    latency_s: float = 0.002
    objects: dict[str, StoredObject] = field(factory=dict)
    revision: int = 0
    changed: ChangeSignal = field(factory=ChangeSignal)
    calls: Counter = field(factory=Counter)

    async def _next_fault(self, kind: str) -> str:
        self.calls[kind] += 1
        await trio.sleep(self.latency_s)
        if self.outage:
            return "refuse"
        return self.faults.pop(0) if self.faults else ""

    async def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Read an object."""
        if await self._next_fault("get") in ("refuse", "drop", "lose"):
            return Err(StoreUnavailable("fault"))
        return Ok(self.objects.get(key))

    async def list(self, prefixes: Sequence[str]) -> Result[Listing, StoreUnavailable]:
        """List objects."""
        found = tuple(o for k, o in sorted(self.objects.items()) if k.startswith(tuple(prefixes)))
        return Ok(Listing(self.revision, found))

    async def watch(
        self, prefixes: Sequence[str], since_revision: int, timeout_ms: int
    ) -> Result[Listing, StoreUnavailable]:
        """Wait for a change."""
        with trio.move_on_after(timeout_ms / 1000):
            while not any(
                o.version > since_revision for o in (await self.list(prefixes)).ok().objects
            ):
                await self.changed.wait()
        return await self.list(prefixes)

    def apply(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[int, VersionConflict]:
        """Write at once, without faults."""
        current = self.objects[key].version if key in self.objects else 0
        if expected_version is not None and current != expected_version:
            return Err(VersionConflict(key, current))
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)
        self.changed.notify()
        return Ok(self.revision)

    async def put(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write an object."""
        fault = await self._next_fault("put")
        if fault == "refuse":
            return Err(StoreUnavailable("fault"))
        if fault == "late":
            trio.lowlevel.spawn_system_task(self._put_late, key, value, expected_version)
        if fault in ("drop", "late"):
            return Err(OutcomeUnknown(key, "fault"))
        written = self.apply(key, value, expected_version)
        return Err(OutcomeUnknown(key, "fault")) if fault == "lose" else written

    async def _put_late(self, key: str, value: Any, expected_version: int | None) -> None:
        await trio.sleep(0.05)
        self.apply(key, value, expected_version)

    async def delete(self, key: str, expected_version: int | None) -> Result[int, StoreError]:
        """Delete an object."""
        if self.objects[key].version != expected_version:
            return Err(VersionConflict(key, self.objects[key].version))
        del self.objects[key]
        return Ok(self.revision)


def make_gate(store: ObjectStore, vm: str = "vm-1", **switches: bool) -> IdempotencyManager:
    """Build a gate whose clocks are the clock of the run."""
    calls = StoreCallLimiter(store)
    now = trio.current_time
    return IdempotencyManager(calls, OutcomeWriter(calls), vm, 1, now, now, **switches)


Gates = dict[int, IdempotencyManager]


@frozen
class Step:
    """Submit a key at a VM; target_s is how long the target takes, ending as target_end says."""

    at_s: float
    vm: int
    key: str
    body: bytes = b"thesis"
    deadline_s: float = 1.0
    target_s: float = 0.02
    target_end: str = "answered"


@frozen
class Answer:
    """Hold what a submission's caller got."""

    step: Step
    submission: int
    result: Outcome | Refusal


@define
class OnceFleet:
    """Run steps and keep the history.

    Attributes:
        deaths: When each VM dies; it comes back empty at once.
    """

    steps: list[Step]
    faults: list[str] = field(factory=list)
    outages: list[tuple[float, float]] = field(factory=list)
    deaths: list[tuple[float, int]] = field(factory=list)
    vms: int = 3
    switches: dict = field(factory=dict)
    runs: list[tuple[str, int]] = field(factory=list)
    answers: list[Answer] = field(factory=list)
    scopes: dict[int, list] = field(factory=dict)

    def run(self) -> "OnceFleet":
        """Run everything on a clock that skips waits."""
        trio.run(self._run, clock=trio.testing.MockClock(autojump_threshold=0))
        return self

    async def _run(self) -> None:
        store = FakeStore(faults=list(self.faults))
        gates = {}
        async with trio.open_nursery() as nursery:
            for vm in range(self.vms):
                self._start_vm(vm, gates, store, nursery)
            for number, step in enumerate(self.steps):
                nursery.start_soon(self._submit, number, step, gates)
            for at_s, vm in self.deaths:
                nursery.start_soon(self._kill, at_s, vm, gates, store, nursery)
            for from_s, until_s in self.outages:
                nursery.start_soon(self._cut_off, from_s, until_s, store)
            await trio.sleep(20.0)
            nursery.cancel_scope.cancel()

    def _start_vm(self, vm: int, gates: Gates, store: FakeStore, nursery: trio.Nursery) -> None:
        gates[vm] = make_gate(store, f"vm-{vm}", **self.switches)
        scope = trio.CancelScope()
        self.scopes[vm] = [scope]
        nursery.start_soon(self._within, scope, gates[vm].writer.run)

    async def _kill(
        self, at_s: float, vm: int, gates: Gates, store: FakeStore, nursery: trio.Nursery
    ) -> None:
        await trio.sleep(at_s)
        for scope in self.scopes[vm]:
            scope.cancel()
        gates[vm].writer.pending.clear()
        self._start_vm(vm, gates, store, nursery)

    @staticmethod
    async def _within(scope: trio.CancelScope, run: Callable[[], Awaitable[None]]) -> None:
        with scope:
            await run()

    @staticmethod
    async def _cut_off(from_s: float, until_s: float, store: FakeStore) -> None:
        await trio.sleep(from_s)
        store.outage = True
        await trio.sleep(until_s - from_s)
        store.outage = False

    async def _submit(self, number: int, step: Step, gates: Gates) -> None:
        await trio.sleep(step.at_s)
        scope = trio.CancelScope()
        self.scopes[step.vm].append(scope)
        await self._within(scope, partial(self._serve, number, step, gates[step.vm]))

    async def _serve(self, number: int, step: Step, gate: IdempotencyManager) -> None:
        deadline_s = trio.current_time() + step.deadline_s
        submission = Submission("unam", step.key, "POST", "/deposits/", step.body)
        claimed = await gate.claim(submission, deadline_s)
        result = claimed.err_value if isinstance(claimed, Err) else claimed.ok_value
        if isinstance(result, Claim):
            result = await self._send(number, step, gate, result)
        self.answers.append(Answer(step, number, result))

    async def _send(
        self, number: int, step: Step, gate: IdempotencyManager, claim: Claim
    ) -> Outcome | Refusal:
        if step.target_end == "no_target":
            await gate.finish(claim, ClaimState.NOT_SENT)
            return Refusal(503, "no_target", "", RunState.NOT_RUN)
        self.runs.append((step.key, number))
        await trio.sleep(step.target_s)
        if step.target_end == "broken":
            await gate.finish(claim, ClaimState.UNKNOWN)
            return Refusal(502, "target_failed", "", RunState.UNKNOWN)
        outcome = Outcome.from_body(201, (("X-Run", str(number)),), b"accepted")
        await gate.finish(claim, ClaimState.ANSWERED, outcome)
        return outcome

    def violations(self) -> list[str]:
        """Return what contradicts at most one run, truth of "not run" or equal answers."""
        found = []
        runs = Counter(key for key, _ in self.runs)
        found += [f"{key} ran {count} times" for key, count in runs.items() if count > 1]
        ran = {number for _, number in self.runs}
        run_of = dict(self.runs)
        for answer in self.answers:
            match answer.result:
                case Refusal(run=RunState.NOT_RUN) if answer.submission in ran:
                    found.append(f"submission {answer.submission} said not run and ran")
                case Outcome(headers=((_, number),)) if run_of.get(answer.step.key) != int(number):
                    found.append(f"submission {answer.submission} got another run's answer")
        return found


def random_fleet(seed: int, **switches: bool) -> OnceFleet:
    """Build a fleet with resends at several VMs, faults, outages and deaths."""
    source = random.Random(seed)
    kinds = ["", "", "", "", "refuse", "lose", "drop", "late"]
    ends = ["answered", "answered", "answered", "broken", "no_target"]
    steps = [
        Step(
            at_s=source.random(),
            vm=source.randrange(3),
            key=f"key-{source.randrange(3)}",
            body=source.choice([b"thesis"] * 5 + [b"other"]),
            deadline_s=source.choice([0.05, 0.3, 1.5]),
            target_s=source.choice([0.01, 0.1]),
            target_end=source.choice(ends),
        )
        for _ in range(source.randrange(2, 14))
    ]
    faults = [source.choice(kinds) for _ in range(source.randrange(60))]
    deaths = [(source.random(), source.randrange(3)) for _ in range(source.randrange(3))]
    outages = [(0.5, 0.7)] if source.random() < 0.3 else []
    return OnceFleet(steps, faults, outages, deaths, switches=switches)
