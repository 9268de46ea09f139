"""Simulate idempotency managers on several VMs with a faulty store and check the history."""

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
    """Object store in memory that injects faults.

    Attributes:
        faults: Faults of the next ``get`` and ``put`` calls in order; later calls succeed. ``""``
            is no fault. A write with ``refuse`` fails without effect, ``lose`` takes effect,
            ``drop`` has no effect, and ``late`` takes effect 50 ms later; the last three report an
            unknown outcome. The first three also fail reads.
        outage: Whether every ``get`` and ``put`` is refused.
        latency_s: Delay of each ``get`` and ``put``.
        calls: Number of ``get`` and ``put`` calls.
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
        """Return an object, or None if it does not exist."""
        if await self._next_fault("get") in ("refuse", "drop", "lose"):
            return Err(StoreUnavailable("fault"))
        return Ok(self.objects.get(key))

    async def list(self, prefixes: Sequence[str]) -> Result[Listing, StoreUnavailable]:
        """Return all objects whose keys start with one of the prefixes."""
        matches = tuple(o for k, o in sorted(self.objects.items()) if k.startswith(tuple(prefixes)))
        return Ok(Listing(self.revision, matches))

    async def watch(
        self, prefixes: Sequence[str], since_revision: int, timeout_ms: int
    ) -> Result[Listing, StoreUnavailable]:
        """Wait for a change since a revision, at most for the timeout, and return all objects."""
        with trio.move_on_after(timeout_ms / 1000):
            while not any(
                o.version > since_revision for o in (await self.list(prefixes)).ok().objects
            ):
                await self.changed.wait()
        return await self.list(prefixes)

    def apply(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[int, VersionConflict]:
        """Write an object immediately and without faults."""
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
        """Write an object, subject to the next fault."""
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
        """Delete an object; faults do not affect deletions."""
        if self.objects[key].version != expected_version:
            return Err(VersionConflict(key, self.objects[key].version))
        del self.objects[key]
        return Ok(self.revision)


def build_idempotency_manager(
    store: ObjectStore, vm: str = "vm-1", **manager_options: bool
) -> IdempotencyManager:
    """Build an idempotency manager whose clocks both use the current Trio clock."""
    calls = StoreCallLimiter(store)
    now = trio.current_time
    return IdempotencyManager(calls, OutcomeWriter(calls), vm, 1, now, now, **manager_options)


IdempotencyManagers = dict[int, IdempotencyManager]


@frozen
class Step:
    """Submission of an idempotency key to a VM.

    Attributes:
        service_time_s: How long the target takes.
        target_result: ``answered``, ``broken`` (the target fails without a response) or
            ``no_target`` (nothing is sent).
    """

    at_s: float
    vm: int
    key: str
    body: bytes = b"thesis"
    deadline_s: float = 1.0
    service_time_s: float = 0.02
    target_result: str = "answered"


@frozen
class SubmissionResult:
    """Result that the caller of a submission received."""

    step: Step
    submission: int
    result: Outcome | Refusal


@define
class OnceFleet:
    """Simulated fleet that runs submissions and records their history.

    Attributes:
        outages: Start and end of each store outage.
        crashes: Time and VM of each crash; the VM restarts immediately without its state.
        manager_options: Options of the idempotency managers that disable parts of the protocol.
        target_runs: Key and submission number of each run at a target.
        scopes: Cancel scopes of each VM's tasks.
    """

    steps: list[Step]
    faults: list[str] = field(factory=list)
    outages: list[tuple[float, float]] = field(factory=list)
    crashes: list[tuple[float, int]] = field(factory=list)
    vms: int = 3
    manager_options: dict = field(factory=dict)
    target_runs: list[tuple[str, int]] = field(factory=list)
    results: list[SubmissionResult] = field(factory=list)
    scopes: dict[int, list] = field(factory=dict)

    def run(self) -> "OnceFleet":
        """Run all steps in virtual time and return this fleet."""
        trio.run(self._run, clock=trio.testing.MockClock(autojump_threshold=0))
        return self

    async def _run(self) -> None:
        store = FakeStore(faults=list(self.faults))
        managers = {}
        async with trio.open_nursery() as nursery:
            for vm in range(self.vms):
                self._start_vm(vm, managers, store, nursery)
            for number, step in enumerate(self.steps):
                nursery.start_soon(self._submit, number, step, managers)
            for at_s, vm in self.crashes:
                nursery.start_soon(self._crash_vm, at_s, vm, managers, store, nursery)
            for from_s, until_s in self.outages:
                nursery.start_soon(self._run_outage, from_s, until_s, store)
            await trio.sleep(20.0)
            nursery.cancel_scope.cancel()

    def _start_vm(
        self, vm: int, managers: IdempotencyManagers, store: FakeStore, nursery: trio.Nursery
    ) -> None:
        managers[vm] = build_idempotency_manager(store, f"vm-{vm}", **self.manager_options)
        scope = trio.CancelScope()
        self.scopes[vm] = [scope]
        nursery.start_soon(self._run_in_scope, scope, managers[vm].writer.run)

    async def _crash_vm(
        self,
        at_s: float,
        vm: int,
        managers: IdempotencyManagers,
        store: FakeStore,
        nursery: trio.Nursery,
    ) -> None:
        await trio.sleep(at_s)
        for scope in self.scopes[vm]:
            scope.cancel()
        managers[vm].writer.pending.clear()
        self._start_vm(vm, managers, store, nursery)

    @staticmethod
    async def _run_in_scope(scope: trio.CancelScope, run: Callable[[], Awaitable[None]]) -> None:
        with scope:
            await run()

    @staticmethod
    async def _run_outage(from_s: float, until_s: float, store: FakeStore) -> None:
        await trio.sleep(from_s)
        store.outage = True
        await trio.sleep(until_s - from_s)
        store.outage = False

    async def _submit(self, number: int, step: Step, managers: IdempotencyManagers) -> None:
        await trio.sleep(step.at_s)
        scope = trio.CancelScope()
        self.scopes[step.vm].append(scope)
        await self._run_in_scope(scope, partial(self._serve, number, step, managers[step.vm]))

    async def _serve(self, number: int, step: Step, manager: IdempotencyManager) -> None:
        deadline_s = trio.current_time() + step.deadline_s
        submission = Submission("unam", step.key, "POST", "/deposits/", step.body)
        claimed = await manager.claim(submission, deadline_s)
        result = claimed.err_value if isinstance(claimed, Err) else claimed.ok_value
        if isinstance(result, Claim):
            result = await self._send(number, step, manager, result)
        self.results.append(SubmissionResult(step, number, result))

    async def _send(
        self, number: int, step: Step, manager: IdempotencyManager, claim: Claim
    ) -> Outcome | Refusal:
        if step.target_result == "no_target":
            await manager.finish(claim, ClaimState.NOT_SENT)
            return Refusal(503, "no_target", "", RunState.NOT_RUN)
        self.target_runs.append((step.key, number))
        await trio.sleep(step.service_time_s)
        if step.target_result == "broken":
            await manager.finish(claim, ClaimState.UNKNOWN)
            return Refusal(502, "target_failed", "", RunState.UNKNOWN)
        outcome = Outcome.from_body(201, (("X-Run", str(number)),), b"accepted")
        await manager.finish(claim, ClaimState.ANSWERED, outcome)
        return outcome

    def violations(self) -> list[str]:
        """Return the violations of the idempotency guarantees in the history.

        A key runs at most once, a submission reported as not run has not run, and all outcomes of
        a key come from the same run.
        """
        problems = []
        run_counts = Counter(key for key, _ in self.target_runs)
        problems += [f"{key} ran {count} times" for key, count in run_counts.items() if count > 1]
        sent_submissions = {number for _, number in self.target_runs}
        submission_by_key = dict(self.target_runs)
        for submission_result in self.results:
            match submission_result.result:
                case Refusal(run=RunState.NOT_RUN) if (
                    submission_result.submission in sent_submissions
                ):
                    problems.append(
                        f"submission {submission_result.submission} was reported as not run but ran"
                    )
                case Outcome(headers=((_, number),)) if submission_by_key.get(
                    submission_result.step.key
                ) != int(number):
                    problems.append(
                        f"submission {submission_result.submission} received another run's outcome"
                    )
        return problems


def random_fleet(seed: int, **manager_options: bool) -> OnceFleet:
    """Build a fleet with random retries at several VMs, store faults, outages and VM crashes."""
    rng = random.Random(seed)
    fault_choices = ["", "", "", "", "refuse", "lose", "drop", "late"]
    result_choices = ["answered", "answered", "answered", "broken", "no_target"]
    steps = [
        Step(
            at_s=rng.random(),
            vm=rng.randrange(3),
            key=f"key-{rng.randrange(3)}",
            body=rng.choice([b"thesis"] * 5 + [b"other"]),
            deadline_s=rng.choice([0.05, 0.3, 1.5]),
            service_time_s=rng.choice([0.01, 0.1]),
            target_result=rng.choice(result_choices),
        )
        for _ in range(rng.randrange(2, 14))
    ]
    faults = [rng.choice(fault_choices) for _ in range(rng.randrange(60))]
    crashes = [(rng.random(), rng.randrange(3)) for _ in range(rng.randrange(3))]
    outages = [(0.5, 0.7)] if rng.random() < 0.3 else []
    return OnceFleet(steps, faults, outages, crashes, manager_options=manager_options)
