"""Test claims and outcomes of idempotency keys on one or more VMs."""

import pytest
import trio
import trio.testing
from result import Err, Ok

from wagtailbay.once import Claim, ClaimState, Outcome, Submission
from wagtailbay.once.const import MAX_RECORDED_BODY_BYTES
from wagtailbay.once.limiters import RequestBufferLimiter, StoreCallLimiter
from wagtailbay.refusals import RunState
from wagtailbay_bench.once_history import FakeStore, build_idempotency_manager

OUTCOME = Outcome.from_body(201, (("X-Run", "1"),), b"accepted")


def make_submission(key: str = "key-1", body: bytes = b"thesis") -> Submission:
    """Return a deposit submission."""
    return Submission("unam", key, "POST", "/deposits/", body)


async def claim(manager, submission=None, wait_s: float = 1.0):
    """Claim a submission with a deadline in wait_s seconds."""
    return await manager.claim(submission or make_submission(), trio.current_time() + wait_s)


@pytest.fixture
def autojump_clock():
    """Return a clock that skips waits."""
    return trio.testing.MockClock(autojump_threshold=0)


class TestIdempotencyManager:
    """Tests of claiming keys before requests are sent."""

    async def test_retry_at_another_vm_gets_recorded_outcome(self, autojump_clock) -> None:
        """Guards against a retry at another VM that runs the request a second time.

        The retry gets the recorded outcome instead.
        """
        store = FakeStore()
        first = build_idempotency_manager(store)
        claimed = (await claim(first)).ok_value
        await first.finish(claimed, ClaimState.ANSWERED, OUTCOME)
        assert await claim(build_idempotency_manager(store, "vm-2")) == Ok(OUTCOME)

    async def test_claim_is_read_back_after_lost_response(self, autojump_clock) -> None:
        """Guards against refusing a claim whose write took effect but whose response is lost."""
        manager = build_idempotency_manager(FakeStore(faults=["lose"]))
        assert isinstance((await claim(manager)).ok_value, Claim)

    async def test_unsent_request_can_be_claimed_again(self, autojump_clock) -> None:
        """Guards against a key that stays claimed although its request was not sent.

        The key can be claimed again.
        """
        store = FakeStore()
        manager = build_idempotency_manager(store)
        await manager.finish((await claim(manager)).ok_value, ClaimState.NOT_SENT)
        assert isinstance((await claim(build_idempotency_manager(store, "vm-2"))).ok_value, Claim)

    async def test_waits_for_outcome_until_deadline(self, autojump_clock) -> None:
        """Guards against "outcome unknown" returned earlier or later than at the deadline."""
        store = FakeStore()
        await claim(build_idempotency_manager(store))
        started_s = trio.current_time()
        refusal = (await claim(build_idempotency_manager(store, "vm-2"), wait_s=3.0)).err_value
        assert (refusal.status, refusal.run) == (409, RunState.UNKNOWN)
        assert trio.current_time() - started_s == pytest.approx(3.0, abs=0.1)
        assert store.calls["get"] < 10

    async def test_recorded_outcome_ends_wait(self, autojump_clock) -> None:
        """Guards against a caller that keeps waiting after another VM has recorded the outcome.

        The caller stops waiting as soon as the outcome is recorded.
        """
        store = FakeStore()
        first = build_idempotency_manager(store)
        claimed = (await claim(first)).ok_value
        async with trio.open_nursery() as nursery:

            async def answer_later() -> None:
                await trio.sleep(0.5)
                await first.finish(claimed, ClaimState.ANSWERED, OUTCOME)

            nursery.start_soon(answer_later)
            assert await claim(build_idempotency_manager(store, "vm-2"), wait_s=60) == Ok(OUTCOME)
        assert trio.current_time() < 1.0

    async def test_retry_joins_in_flight_submission(self, autojump_clock) -> None:
        """Guards against retries at the same VM that make further store calls.

        The retries share the result of the submission in flight.
        """
        store = FakeStore()
        manager = build_idempotency_manager(store)
        claimed = (await claim(manager)).ok_value
        calls = store.calls.total()
        results = []
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(lambda: self._collect(manager, results))
            await trio.testing.wait_all_tasks_blocked()
            assert store.calls.total() == calls
            await manager.finish(claimed, ClaimState.ANSWERED, OUTCOME)
        assert results == [Ok(OUTCOME)] * 3

    @staticmethod
    async def _collect(manager, results) -> None:
        results.append(await claim(manager))

    @pytest.mark.parametrize("finished", [False, True])
    async def test_key_reused_with_different_body_is_rejected(
        self, autojump_clock, finished: bool
    ) -> None:
        """Guards against an outcome that is returned for a different request."""
        manager = build_idempotency_manager(FakeStore())
        claimed = (await claim(manager)).ok_value
        if finished:
            await manager.finish(claimed, ClaimState.ANSWERED, OUTCOME)
        refusal = (await claim(manager, make_submission(body=b"another"))).err_value
        assert (refusal.status, refusal.run) == (422, RunState.NOT_RUN)

    async def test_store_outage_before_claim_is_not_run(self, autojump_clock) -> None:
        """Guards against a deposit that is sent without a claim."""
        manager = build_idempotency_manager(FakeStore(outage=True))
        refusal = (await claim(manager)).err_value
        assert (refusal.status, refusal.run) == (503, RunState.NOT_RUN)
        assert not manager.in_flight

    async def test_store_outage_after_conflict_is_unknown(self, autojump_clock) -> None:
        """Guards against "not run" reported when another VM may have run the request."""
        store = FakeStore()
        await claim(build_idempotency_manager(store))
        store.faults = ["", *["refuse"] * 50]
        assert (
            await claim(build_idempotency_manager(store, "vm-2"))
        ).err_value.run is RunState.UNKNOWN

    async def test_uncertain_claim_is_released_in_background(self, autojump_clock) -> None:
        """Guards against a put that takes effect late and blocks its key."""
        store = FakeStore(faults=["late", *["refuse"] * 20])
        manager = build_idempotency_manager(store)
        assert (await claim(manager)).err_value.run is RunState.NOT_RUN
        store.faults = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(manager.writer.run)
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
        assert isinstance((await claim(build_idempotency_manager(store, "vm-2"))).ok_value, Claim)

    async def test_cancelled_claim_is_cleaned_up(self, autojump_clock) -> None:
        """Guards against a retry blocked because its caller disconnected during the claim."""
        store = FakeStore(latency_s=0.5)
        manager = build_idempotency_manager(store)
        with trio.move_on_after(0.2):
            await claim(manager)
        assert (manager.in_flight, manager.buffer_limiter.requests) == ({}, 0)
        assert [w.record.state for w in manager.writer.pending.values()] == [ClaimState.NOT_SENT]

    async def test_buffered_bodies_are_bounded(self, autojump_clock) -> None:
        """Guards against request bodies that fill the memory of a VM when the store is slow."""
        manager = build_idempotency_manager(FakeStore(latency_s=5.0))
        manager.buffer_limiter = RequestBufferLimiter(max_bytes=100)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(claim, manager, make_submission("key-1", b"x" * 80), 60)
            await trio.testing.wait_all_tasks_blocked()
            refusal = (await claim(manager, make_submission("key-2", b"x" * 80))).err_value
            assert (refusal.code, refusal.run) == ("once_busy", RunState.NOT_RUN)
            nursery.cancel_scope.cancel()

    async def test_store_calls_are_bounded(self, autojump_clock) -> None:
        """Guards against an unlimited number of calls waiting for a slow store."""
        store = FakeStore(latency_s=1.0)
        calls = StoreCallLimiter(store, trio.CapacityLimiter(2), max_queued=3)
        results = []

        async def call() -> None:
            results.append(await calls.run(lambda s: s.get("once/x")))

        async with trio.open_nursery() as nursery:
            for _ in range(9):
                nursery.start_soon(call)
        assert sum(isinstance(r, Err) for r in results) == 4
        assert store.calls["get"] == 5


class TestOutcomeWriter:
    """Tests of retrying failed writes in bounded memory."""

    async def test_failed_write_is_retried(self, autojump_clock) -> None:
        """Guards against an outcome that is lost in a store outage."""
        store = FakeStore()
        manager = build_idempotency_manager(store)
        claimed = (await claim(manager)).ok_value
        store.outage = True
        started_s = trio.current_time()
        await manager.finish(claimed, ClaimState.ANSWERED, OUTCOME)
        assert trio.current_time() - started_s < 0.6
        assert await claim(manager) == Ok(
            OUTCOME
        ), "the VM must return the outcome without the store"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(manager.writer.run)
            assert not await manager.writer.drain(10)
            store.outage = False
            assert await manager.writer.drain(3)
            nursery.cancel_scope.cancel()
        assert await claim(build_idempotency_manager(store, "vm-2")) == Ok(OUTCOME)

    async def test_retried_write_keeps_later_claim(self, autojump_clock) -> None:
        """Guards against a delayed ``not_sent`` that releases a key that another VM has run."""
        store = FakeStore()
        first, second = build_idempotency_manager(store), build_idempotency_manager(store, "vm-2")
        claimed = (await claim(first)).ok_value
        store.faults = ["lose", "refuse"]
        await first.finish(claimed, ClaimState.NOT_SENT)
        assert first.writer.pending
        second_claim = (await claim(second)).ok_value
        await second.finish(second_claim, ClaimState.ANSWERED, OUTCOME)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.writer.run)
            assert await first.writer.drain(5)
            nursery.cancel_scope.cancel()
        assert await claim(build_idempotency_manager(store, "vm-3")) == Ok(OUTCOME)

    async def test_queue_is_bounded(self, autojump_clock) -> None:
        """Guards against outcomes that fill the memory of a VM during a long outage."""
        store = FakeStore()
        manager = build_idempotency_manager(store)
        manager.writer.max_pending = 2
        claims = [(await claim(manager, make_submission(f"key-{i}"))).ok_value for i in range(3)]
        store.outage = True
        for item in claims:
            await manager.finish(item, ClaimState.ANSWERED, OUTCOME)
        assert (len(manager.writer.pending), manager.writer.dropped) == (2, 1)


class TestOutcome:
    """Tests of the 64 KB limit for recorded bodies."""

    @pytest.mark.parametrize(("extra", "is_recorded"), [(0, True), (1, False)])
    def test_oversized_body_is_reduced_to_digest(self, extra: int, is_recorded: bool) -> None:
        """Guards against claim objects that exceed the store's size limit."""
        body = b"x" * (MAX_RECORDED_BODY_BYTES + extra)
        outcome = Outcome.from_body(200, (), body)
        assert (outcome.body is not None, outcome.body_bytes) == (is_recorded, len(body))
