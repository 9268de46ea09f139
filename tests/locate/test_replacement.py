"""Tests with real processes that planned shutdowns interrupt no requests."""

import copy
import json

import trio

from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.processes import ProcessGroup
from wagtailbay_bench.small_fleet import FLEET, RECORDS_SERVICE

ZONES = {"vm-1": "mx-a1", "vm-2": "mx-a2", "vm-3": "mx-b1"}


class TestReplacement:
    """All VMs are replaced while clients use their locate answers."""

    async def test_no_request_is_cut_or_refused(self) -> None:
        """Guards against a VM that shuts down while cached locate answers still name it."""
        with ProcessGroup() as group:
            limits = copy.deepcopy(RECORDS_SERVICE)
            fleet = Deployment(group, [limits], FLEET | {"max_vms": 6}, {"unam": "k"}, dict(ZONES))
            await fleet.start()
            await trio.sleep(1.5)
            outcomes: list[str] = []
            async with trio.open_nursery() as nursery:
                for number in range(3):
                    nursery.start_soon(self.call_until_cancelled, fleet, number, outcomes)
                await self.replace_all(fleet)
                await trio.sleep(1)
                nursery.cancel_scope.cancel()
            assert len(outcomes) > 100
            assert set(outcomes) == {"200"}
            assert all(process.process.poll() == 0 for process in list(fleet.vms.values())[:3])

    @staticmethod
    async def replace_all(fleet: Deployment) -> None:
        """Start a replacement for each VM, stop the old VM, and wait until it exits."""
        for vm, zone in ZONES.items():
            fleet.add_vm(f"{vm}-new", zone)
            await fleet.start_vm(f"{vm}-new").wait_for_event("ready")
            await trio.sleep(0.5)
            fleet.vms[vm].terminate()
        for vm in ZONES:
            await fleet.vms[vm].wait_for_event("left")
            with trio.fail_after(10):
                while fleet.vms[vm].process.poll() is None:
                    await trio.sleep(0.05)

    async def call_until_cancelled(
        self, fleet: Deployment, number: int, outcomes: list[str]
    ) -> None:
        """Send a light load to the first VM of a locate answer, renewed when it expires."""
        vm, expires_s = f"vm-{number + 1}", trio.current_time()
        by_address = {}
        while True:
            if trio.current_time() >= expires_s:
                asked_s = trio.current_time()
                answer = await fleet.call(vm, f"/-/locate?client=10.0.0.{number}")
                located = json.loads(answer.body)
                by_address = {a: name for name, a in fleet.vm_addresses.items()}
                vm = by_address[located["vms"][0]["address"]]
                expires_s = asked_s + located["ttl_ms"] / 1000
            try:
                response = await fleet.call(vm, "/records/x", workspace="unam")
                outcomes.append(str(response.status))
            except RuntimeError as error:
                outcomes.append(str(error))
            await trio.sleep(0.3)
