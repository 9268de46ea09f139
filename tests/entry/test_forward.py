"""Tests of attempts, retries and the run state of refusals, over real connections."""

import json
from functools import partial

import pytest
import trio

from wagtailbay.entry.const import RETRY_CAPACITY, RETRY_RATIO
from wagtailbay.membership import VmState
from wagtailbay.once.const import MAX_RECORDED_BODY_BYTES
from wagtailbay.retries import RetryBudget
from wagtailbay.steer import AttemptOutcome
from wagtailbay_bench.rig import KEY, Rig, get, post
from wagtailbay_standins.target import Behaviour

SHED = b"HTTP/1.1 503 x\r\nWagtailbay-Run: not-run\r\nContent-Length: 0\r\n\r\n"
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
SLOW = Behaviour(service_time_ms=150, connection_cost_ms=0)


async def respond_and_close(data: bytes, stream: trio.SocketStream) -> None:
    """Receive a request, send raw bytes and close the connection."""
    await stream.receive_some(65_536)
    if data:
        await stream.send_all(data)
    await stream.aclose()


async def add_target_of_kind(rig: Rig, kind: str, name: str) -> None:
    """Add a target that behaves as the kind names."""
    responses = {"breaks": b"", "sheds": SHED, "cuts": TRUNCATED}
    if kind == "serves":
        await rig.add_target(name)
    elif kind == "refuses":
        rig.register_target(name, "127.0.0.1:1")
    else:
        await rig.add_raw_target(name, partial(respond_and_close, responses[kind]))


def parse_run_state(response: bytes) -> str:
    """Return the run state in the body of a refusal; assert that the header matches."""
    run = json.loads(response.partition(b"\r\n\r\n")[2])["error"]["run"]
    assert f"Wagtailbay-Run: {run.replace('_', '-')}".encode() in response
    return run


class TestRefusals:
    """A refusal reports "not run" only if no attempt may have run."""

    @pytest.mark.parametrize(
        ("kinds", "path", "status", "run"),
        [
            (["refuses"], "read", 502, "not_run"),
            (["sheds"], "read", 503, "not_run"),
            (["refuses", "sheds"], "read", 503, "not_run"),
            (["breaks"], "read", 502, "unknown"),
            (["breaks", "sheds"], "read", 503, "unknown"),
            (["breaks", "refuses"], "read", 502, "unknown"),
            (["breaks", "sheds", "refuses"], "read", 502, "unknown"),
            (["breaks", "refuses", "sheds", "sheds"], "read", 503, "unknown"),
            (["breaks", "serves"], "read", 200, None),
            (["sheds", "serves"], "deposit", 200, None),
            (["refuses", "serves"], "deposit", 200, None),
            (["breaks", "serves"], "deposit", 502, "unknown"),
            (["cuts", "serves"], "deposit", 502, "unknown"),
            (["sheds"], "deposit", 503, "not_run"),
        ],
    )
    async def test_run_state_is_accurate(self, nursery, kinds, path: str, status: int, run) -> None:
        """Guards against reporting "not run" wrongly, and against unsafe retries."""
        rig = Rig(nursery)
        for number, kind in enumerate(kinds):
            await add_target_of_kind(rig, kind, f"t{number}")
        vm = await rig.add_vm()
        vm.forwarder.chooser.always_first = True
        data = get("/records/x") if path == "read" else post("/records/deposits/1", "key-1")
        response = await vm.session(data)
        assert int(response[9:12]) == status
        if run is not None:
            assert parse_run_state(response) == run

    @pytest.mark.parametrize("path", ["/records/x", "/records/open/x", "/other/x"])
    async def test_joining_vm_forwards_nothing(self, nursery, path: str) -> None:
        """Guards against a starting VM that serves with missing or outdated configuration."""
        rig = Rig(nursery)
        await rig.add_target("t0")
        vm = await rig.add_vm(state=VmState.JOINING)
        response = await vm.session(get(path))
        assert (response[9:12], parse_run_state(response)) == (b"503", "not_run")
        assert b'"not_ready"' in response
        assert (await vm.session(get("/-/ready")))[9:12] == b"503"
        assert rig.standins["t0"].served == 0

    async def test_truncated_response_is_not_terminated(self, nursery) -> None:
        """Guards against a truncated response that looks complete to the caller."""
        rig = Rig(nursery)
        await add_target_of_kind(rig, "cuts", "t0")
        response = await (await rig.add_vm()).session(get("/records/x"))
        assert response.startswith(b"HTTP/1.1 200")
        assert b"content-length: 9" in response
        assert response.endswith(b"half") or response.endswith(b"<reset>")

    @pytest.mark.parametrize("chosen", [False, True])
    async def test_deadline_before_sending_reports_not_run(self, nursery, chosen: bool) -> None:
        """Guards against a deposit sent after its deadline by a VM that was suspended."""
        rig = Rig(nursery)
        await rig.add_target("t0")
        vm = await rig.add_vm()
        chooser = vm.forwarder.chooser
        vm.forwarder.clock = lambda: trio.current_time() + (
            60 if chooser.cursor or not chosen else 0
        )
        response = await vm.session(post("/records/deposits/1", "key-1"))
        assert (response[9:12], parse_run_state(response)) == (b"504", "not_run")
        assert rig.standins["t0"].served == 0


class TestRetryBudget:
    """Retries stay within a tenth of first attempts."""

    async def test_retries_are_bounded(self, nursery) -> None:
        """Guards against tripling the load with retries when all targets fail."""
        counts = {}
        for enabled in (True, False):
            rig = Rig(nursery)
            for number in range(3):
                await add_target_of_kind(rig, "breaks", f"t{number}")
            vm = await rig.add_vm()
            vm.forwarder.retry_budget = RetryBudget(
                RETRY_RATIO, lambda: RETRY_CAPACITY, 2.0, enabled
            )
            vm.forwarder.has_exited = never_exited
            for number in range(60):
                await vm.session(get(f"/records/{number}"))
            counts[enabled] = len(vm.forwarder.chooser.reports)
        assert counts[True] <= 60 * 1.1 + 2
        assert counts[False] > 60 * 1.1 + 2, "the check must fail without the budget"


async def never_exited(address: str) -> bool:
    """Return False, in place of the check whether a target has exited."""
    return False


class TestFrozenTarget:
    """A target that accepts requests but never responds costs one idle timeout."""

    @pytest.mark.parametrize(("idle_timeout_ms", "in_time"), [(100, True), (1_000, False)])
    async def test_reads_fail_over(self, nursery, idle_timeout_ms: int, in_time: bool) -> None:
        """Guards against reads that wait for a frozen target until their deadline."""
        rig = Rig(nursery, idle_timeout_ms=idle_timeout_ms, deadline_ms=1_000)
        await rig.add_target("frozen", Behaviour(frozen_answers=True))
        await rig.add_target("good")
        vm = await rig.add_vm()
        vm.forwarder.chooser.always_first = True
        started_s = trio.current_time()
        response = await vm.session(get("/records/x"))
        assert (response[9:12] == b"200") is in_time
        assert (trio.current_time() - started_s < 0.5) is in_time


class TestCallerDisconnect:
    """A disconnect cancels reads; deposits continue until their outcome is recorded."""

    async def test_read_is_cancelled_at_the_target(self, nursery) -> None:
        """Guards against target slots occupied for callers that have disconnected."""
        rig = Rig(nursery)
        await rig.add_target("t0", Behaviour(service_time_ms=60_000, connection_cost_ms=0))
        vm = await rig.add_vm()
        await vm.session(get("/records/x"), wait_s=0.05)
        with trio.fail_after(2):
            while rig.standins["t0"].in_flight or vm.server.open_requests:
                await trio.sleep(0.005)
        assert vm.forwarder.chooser.reports == [("t0", AttemptOutcome.CANCELLED)]

    async def test_deposit_is_recorded_and_replayed(self, nursery) -> None:
        """Guards against a second run, or a lost outcome, after the caller times out."""
        rig = Rig(nursery)
        await rig.add_target("t0", SLOW)
        first, second = await rig.add_vm("vm-1"), await rig.add_vm("vm-2")
        data = post("/records/deposits/1", "key-1")
        assert await first.session(data, wait_s=0.05) == b""
        responses = [await vm.session(data) for vm in (second, first)]
        assert [a[9:12] for a in responses] == [b"200", b"200"]
        assert responses[0] == responses[1]
        assert rig.standins["t0"].runs["key-1"] == 1

    async def test_skipped_claim_runs_twice(self, nursery) -> None:
        """Guards against the previous test passing without the claim."""
        rig = Rig(nursery)
        await rig.add_target("t0", SLOW)
        vm = await rig.add_vm()
        vm.at_most_once_forwarder.idempotency_manager.skip_claim = True
        for _ in range(2):
            await vm.session(post("/records/deposits/1", "key-1"))
        assert rig.standins["t0"].runs["key-1"] == 2


class TestDeposit:
    """Deposits need an idempotency key and replay their recorded outcome."""

    @pytest.mark.parametrize("key", ["", "a b", "x" * 300])
    async def test_invalid_idempotency_key_is_refused(self, nursery, key: str) -> None:
        """Guards against accepting a deposit without a usable idempotency key."""
        rig = Rig(nursery)
        await rig.add_target("t0")
        response = await (await rig.add_vm()).session(post("/records/deposits/1", key))
        assert (response[9:12], parse_run_state(response)) == (b"400", "not_run")

    async def test_large_response_is_streamed_and_replayed_as_digest(self, nursery) -> None:
        """Guards against buffering or storing responses without a size limit."""
        rig = Rig(nursery)
        behaviour = Behaviour(service_time_ms=1, body_bytes=2 * MAX_RECORDED_BODY_BYTES)
        await rig.add_target("t0", behaviour)
        vm = await rig.add_vm()
        data = post("/records/deposits/1", "key-1")
        first, again = await vm.session(data), await vm.session(data)
        assert len(first) > 2 * MAX_RECORDED_BODY_BYTES
        assert b"Wagtailbay-Replayed: digest" in again
        size = json.loads(again.partition(b"\r\n\r\n")[2])["outcome"]["body_bytes"]
        assert size == len(first.partition(b"\r\n\r\n")[2])

    async def test_targets_never_receive_the_key(self, nursery) -> None:
        """Guards against forwarding the caller's API key on any route."""
        rig = Rig(nursery)
        seen: list[bytes] = []

        async def serve(stream: trio.SocketStream) -> None:
            seen.append(await stream.receive_some(65_536))
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        await rig.add_raw_target("t0", serve)
        vm = await rig.add_vm()
        for path in ("/records/x", "/records/open/x"):
            assert (await vm.session(get(path)))[9:12] == b"200"
        await vm.session(post("/records/deposits/1", "key-1"))
        assert len(seen) == 3
        assert KEY.encode() not in b"".join(seen)
