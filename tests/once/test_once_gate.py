"""Test claims on one or two VMs, case by case."""

import pytest
import trio
import trio.testing
from result import Err, Ok

from wagtailbay.once import Claim, ClaimState, Outcome, Submission
from wagtailbay.once.calls import HeldMemory, StoreCalls
from wagtailbay.once.const import MAX_RECORDED_BODY_BYTES
from wagtailbay.refusals import RunState
from wagtailbay_bench.once_history import FakeStore, make_gate

OUTCOME = Outcome.of(201, (("X-Run", "1"),), b"accepted")


def deposit(key: str = "key-1", body: bytes = b"thesis") -> Submission:
    """Build a submission."""
    return Submission("unam", key, "POST", "/deposits/", body)


async def claim(gate, submission=None, wait_s: float = 1.0):
    """Claim with a deadline after wait_s."""
    return await gate.claim(submission or deposit(), trio.current_time() + wait_s)


@pytest.fixture
def autojump_clock():
    """Skip waits."""
    return trio.testing.MockClock(autojump_threshold=0)


class TestOnceGate:
    """A key is claimed before anything is sent."""

    async def test_resend_gets_recorded_outcome_at_another_vm(self, autojump_clock) -> None:
        """Guards against a second run by a caller that moves to another VM."""
        store = FakeStore()
        first = make_gate(store)
        claimed = (await claim(first)).ok_value
        await first.finish(claimed, ClaimState.ANSWERED, OUTCOME)
        assert await claim(make_gate(store, "vm-2")) == Ok(OUTCOME)

    async def test_lost_answer_to_claim_is_read_back(self, autojump_clock) -> None:
        """Guards against a deposit refused although its claim was written."""
        gate = make_gate(FakeStore(faults=["lose"]))
        assert isinstance((await claim(gate)).ok_value, Claim)

    async def test_not_sent_may_be_claimed_again(self, autojump_clock) -> None:
        """Guards against a key that is lost although nothing was sent."""
        store = FakeStore()
        gate = make_gate(store)
        await gate.finish((await claim(gate)).ok_value, ClaimState.NOT_SENT)
        assert isinstance((await claim(make_gate(store, "vm-2"))).ok_value, Claim)

    async def test_waits_for_another_vm_until_deadline(self, autojump_clock) -> None:
        """Guards against an early or a late "outcome unknown"."""
        store = FakeStore()
        await claim(make_gate(store))
        started_s = trio.current_time()
        refusal = (await claim(make_gate(store, "vm-2"), wait_s=3.0)).err_value
        assert (refusal.status, refusal.run) == (409, RunState.UNKNOWN)
        assert trio.current_time() - started_s == pytest.approx(3.0, abs=0.1)
        assert store.calls["get"] < 10

    async def test_outcome_of_another_vm_ends_the_wait(self, autojump_clock) -> None:
        """Guards against a caller that waits for its deadline although the outcome is known."""
        store = FakeStore()
        first = make_gate(store)
        claimed = (await claim(first)).ok_value
        async with trio.open_nursery() as nursery:

            async def answer_later() -> None:
                await trio.sleep(0.5)
                await first.finish(claimed, ClaimState.ANSWERED, OUTCOME)

            nursery.start_soon(answer_later)
            assert await claim(make_gate(store, "vm-2"), wait_s=60) == Ok(OUTCOME)
        assert trio.current_time() < 1.0

    async def test_resend_joins_the_running_one(self, autojump_clock) -> None:
        """Guards against store calls and waits of their own for resends to the same VM."""
        store = FakeStore()
        gate = make_gate(store)
        claimed = (await claim(gate)).ok_value
        calls = store.calls.total()
        results = []
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(lambda: self._collect(gate, results))
            await trio.testing.wait_all_tasks_blocked()
            assert store.calls.total() == calls
            await gate.finish(claimed, ClaimState.ANSWERED, OUTCOME)
        assert results == [Ok(OUTCOME)] * 3

    @staticmethod
    async def _collect(gate, results) -> None:
        results.append(await claim(gate))

    @pytest.mark.parametrize("ended", [False, True])
    async def test_other_body_is_refused(self, autojump_clock, ended: bool) -> None:
        """Guards against an outcome given to a different request."""
        gate = make_gate(FakeStore())
        claimed = (await claim(gate)).ok_value
        if ended:
            await gate.finish(claimed, ClaimState.ANSWERED, OUTCOME)
        refusal = (await claim(gate, deposit(body=b"another"))).err_value
        assert (refusal.status, refusal.run) == (422, RunState.NOT_RUN)

    async def test_store_down_at_claim_is_not_run(self, autojump_clock) -> None:
        """Guards against a deposit that is sent without a claim."""
        gate = make_gate(FakeStore(outage=True))
        refusal = (await claim(gate)).err_value
        assert (refusal.status, refusal.run) == (503, RunState.NOT_RUN)
        assert not gate.running

    async def test_store_down_after_conflict_is_unknown(self, autojump_clock) -> None:
        """Guards against "not run" where another VM's run of the key cannot be excluded."""
        store = FakeStore()
        await claim(make_gate(store))
        store.faults = ["", *["refuse"] * 50]
        assert (await claim(make_gate(store, "vm-2"))).err_value.run is RunState.UNKNOWN

    async def test_lost_claim_is_released_in_the_background(self, autojump_clock) -> None:
        """Guards against a key that stays blocked by a put that came late."""
        store = FakeStore(faults=["late", *["refuse"] * 20])
        gate = make_gate(store)
        assert (await claim(gate)).err_value.run is RunState.NOT_RUN
        store.faults = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gate.writer.run)
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
        assert isinstance((await claim(make_gate(store, "vm-2"))).ok_value, Claim)

    async def test_cancelled_claim_leaves_no_trace(self, autojump_clock) -> None:
        """Guards against a caller that leaves during the claim and blocks its own resend."""
        store = FakeStore(latency_s=0.5)
        gate = make_gate(store)
        with trio.move_on_after(0.2):
            await claim(gate)
        assert (gate.running, gate.memory.claims) == ({}, 0)
        assert [w.record.state for w in gate.writer.pending.values()] == [ClaimState.NOT_SENT]

    async def test_held_bodies_are_bounded(self, autojump_clock) -> None:
        """Guards against a slow store that fills the VM's memory with bodies."""
        gate = make_gate(FakeStore(latency_s=5.0))
        gate.memory = HeldMemory(max_bytes=100)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(claim, gate, deposit("key-1", b"x" * 80), 60)
            await trio.testing.wait_all_tasks_blocked()
            refusal = (await claim(gate, deposit("key-2", b"x" * 80))).err_value
            assert (refusal.code, refusal.run) == ("once_busy", RunState.NOT_RUN)
            nursery.cancel_scope.cancel()

    async def test_store_calls_are_bounded(self, autojump_clock) -> None:
        """Guards against any number of calls that wait on a slow store."""
        store = FakeStore(latency_s=1.0)
        calls = StoreCalls(store, trio.CapacityLimiter(2), max_waiting=3)
        results = []

        async def call() -> None:
            results.append(await calls.run(lambda s: s.get("once/x")))

        async with trio.open_nursery() as nursery:
            for _ in range(9):
                nursery.start_soon(call)
        assert sum(isinstance(r, Err) for r in results) == 4
        assert store.calls["get"] == 5


class TestOutcomeWriter:
    """Outcomes reach the store late rather than never, in bounded memory."""

    async def test_failed_write_is_repeated(self, autojump_clock) -> None:
        """Guards against an outcome lost in a store outage."""
        store = FakeStore()
        gate = make_gate(store)
        claimed = (await claim(gate)).ok_value
        store.outage = True
        started_s = trio.current_time()
        await gate.finish(claimed, ClaimState.ANSWERED, OUTCOME)
        assert trio.current_time() - started_s < 0.6
        assert await claim(gate) == Ok(OUTCOME), "this VM knows the outcome without the store"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gate.writer.run)
            assert not await gate.writer.drain(10)
            store.outage = False
            assert await gate.writer.drain(3)
            nursery.cancel_scope.cancel()
        assert await claim(make_gate(store, "vm-2")) == Ok(OUTCOME)

    async def test_repeated_write_spares_a_later_claim(self, autojump_clock) -> None:
        """Guards against a late ``not_sent`` that frees a key which another VM has run."""
        store = FakeStore()
        first, second = make_gate(store), make_gate(store, "vm-2")
        claimed = (await claim(first)).ok_value
        store.faults = ["lose", "refuse"]
        await first.finish(claimed, ClaimState.NOT_SENT)
        assert first.writer.pending
        again = (await claim(second)).ok_value
        await second.finish(again, ClaimState.ANSWERED, OUTCOME)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.writer.run)
            assert await first.writer.drain(5)
            nursery.cancel_scope.cancel()
        assert await claim(make_gate(store, "vm-3")) == Ok(OUTCOME)

    async def test_queue_is_bounded(self, autojump_clock) -> None:
        """Guards against a long outage that fills the VM's memory with outcomes."""
        store = FakeStore()
        gate = make_gate(store)
        gate.writer.max_pending = 2
        claims = [(await claim(gate, deposit(f"key-{i}"))).ok_value for i in range(3)]
        store.outage = True
        for item in claims:
            await gate.finish(item, ClaimState.ANSWERED, OUTCOME)
        assert (len(gate.writer.pending), gate.writer.dropped) == (2, 1)


class TestOutcome:
    """Outcomes keep bodies to 64 KB."""

    @pytest.mark.parametrize(("extra", "kept"), [(0, True), (1, False)])
    def test_longer_body_keeps_its_digest_only(self, extra: int, kept: bool) -> None:
        """Guards against objects that grow above what the store takes."""
        body = b"x" * (MAX_RECORDED_BODY_BYTES + extra)
        outcome = Outcome.of(200, (), body)
        assert (outcome.body is not None, outcome.body_bytes) == (kept, len(body))
