"""Test requests that crash targets while other requests are in flight."""

from collections import Counter

import pytest
import trio

from wagtailbay.quarantine import request_fingerprint
from wagtailbay_bench.rig import AUTH, Rig, get, post, replicate_facts
from wagtailbay_standins.target import Behaviour


def crashed(rig: Rig) -> int:
    """Return how many targets received a crashing request."""
    return sum(standin.seen_headers["x-crash"] > 0 for standin in rig.standins.values())


class TestCrashingRequest:
    """A crashing request ends at most two targets; bystanders are answered."""

    async def _run(self, rig: Rig, vms, bystanders: int) -> tuple[list[bytes], list[bytes]]:
        """Send slow requests to every VM, then a crashing request; return the answers of both."""
        answers: list[bytes] = []
        crash_answers: list[bytes] = []

        async def call(vm, data: bytes, into: list[bytes]) -> None:
            into.append(await vm.session(data))

        async with trio.open_nursery() as nursery:
            for number in range(bystanders):
                data = get(f"/records/thesis/{number}")
                nursery.start_soon(call, vms[number % len(vms)], data, answers)
            await trio.sleep(0.05)
            crash = get("/records/crash", "X-Crash: 1\r\n" + AUTH)
            nursery.start_soon(call, vms[0], crash, crash_answers)
        await trio.sleep(0.08)  # Let the facts of the second crash reach the other VM.
        for vm in vms:
            crash_answers.append(await vm.session(crash))
        return answers, crash_answers

    async def test_crashing_request_is_identified_among_bystanders(self, nursery) -> None:
        """Guards against a third crash, refused bystanders and a wrong "not_run" answer."""
        rig = Rig(nursery)
        for number in range(6):
            behaviour = Behaviour(service_time_ms=150, connection_cost_ms=0)
            await rig.add_target(f"t{number}", behaviour)
        vms = [await rig.add_vm(f"vm-{number}") for number in (1, 2)]
        nursery.start_soon(replicate_facts, vms)
        answers, crash_answers = await self._run(rig, vms, bystanders=18)
        assert Counter(a[9:12] for a in answers) == {b"200": 18}
        assert crashed(rig) == 2
        assert [a[9:12] for a in crash_answers] == [b"422"] * 3
        runs = [b"unknown" if b'"run": "unknown"' in a else b"not_run" for a in crash_answers]
        assert runs == [b"unknown", b"not_run", b"not_run"]
        now_s = trio.current_time()
        assert [len(vm.forwarder.crashes.quarantined(now_s)) for vm in vms] == [1, 1]

    async def test_without_crash_detection_more_targets_crash(self, nursery) -> None:
        """Guards against the test above passing without crash detection."""
        rig = Rig(nursery)
        for number in range(6):
            await rig.add_target(f"t{number}")
        vm = await rig.add_vm()
        vm.forwarder.has_exited = never_ended
        await self._run(rig, [vm], bystanders=0)
        assert crashed(rig) > 2

    async def test_crashing_deposit_is_not_retried(self, nursery) -> None:
        """Guards against a non-idempotent crashing request that is retried on a second target."""
        rig = Rig(nursery)
        for number in range(3):
            await rig.add_target(f"t{number}")
        vm = await rig.add_vm()
        found = []
        for key in ("key-1", "key-1", "key-2", "key-3"):
            headers = "X-Crash: 1\r\n" + AUTH
            answer = await vm.session(post("/records/crash-deposits/1", key, headers=headers))
            found.append((answer[9:12], b'"run": "unknown"' in answer, crashed(rig)))
        assert found == [
            (b"502", True, 1),
            (b"409", True, 1),
            (b"502", True, 2),
            (b"422", False, 2),
        ]

    @pytest.mark.parametrize("enabled", [True, False])
    async def test_suspects_run_one_after_another(self, nursery, enabled: bool) -> None:
        """Guards against several suspects in flight on a target that crashes again."""
        rig = Rig(nursery)
        await rig.add_target("t0", Behaviour(service_time_ms=30, connection_cost_ms=0))
        vm = await rig.add_vm()
        vm.forwarder.suspect_limiter.enabled = enabled
        most = 0

        async def watch() -> None:
            nonlocal most
            while True:
                most = max(most, rig.standins["t0"].in_flight)
                await trio.sleep(0.005)

        for number in range(4):
            fingerprint = request_fingerprint("unam", "GET", f"/records/thesis/{number}", b"")
            vm.forwarder.crashes.record_crash(fingerprint, f"t{number}", "", trio.current_time())
        async with trio.open_nursery() as calls:
            calls.start_soon(watch)
            async with trio.open_nursery() as inner:
                for number in range(4):
                    inner.start_soon(vm.session, get(f"/records/thesis/{number}"))
            calls.cancel_scope.cancel()
        assert (most == 1) is enabled


async def never_ended(address: str) -> bool:
    """Replace the check for terminated targets; always return False."""
    return False
