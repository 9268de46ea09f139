"""Test with real processes that configuration and keys reach every VM, even in outages."""

import copy
import json
from collections import Counter

import trio

from wagtailbay.access import hash_key
from wagtailbay.store import HttpObjectStore
from wagtailbay.transport import Request, fetch
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.processes import ProcessGroup, free_address
from wagtailbay_bench.small_fleet import FLEET, RECORDS_SERVICE

ZONES = ("mx-a1", "mx-a2", "mx-b1")


def deployment(group: ProcessGroup, *vms: str, zones: tuple[str, ...] = ZONES) -> Deployment:
    """Return a deployment whose VMs are spread over the zones round robin."""
    placed = {vm: zones[index % len(zones)] for index, vm in enumerate(vms)}
    return Deployment(group, [copy.deepcopy(RECORDS_SERVICE)], FLEET, {"unam": "key"}, placed)


async def set_outage(fleet: Deployment, outage: bool) -> None:
    """Start or end a store outage."""
    body = json.dumps({"outage": outage}).encode()
    await fetch(fleet.platform_address, Request("PUT", "/standin/faults", (), body), 1_000)


async def get_status(fleet: Deployment, vm: str, path: str = "/records/x") -> int:
    """Send a request with the workspace's key and return the response status."""
    return (await fleet.call(vm, path, workspace="unam")).status


class TestWithdrawal:
    """A key withdrawn in the store is rejected by every VM within 5 s."""

    async def test_withdrawn_key_is_rejected_by_all_vms(self) -> None:
        """Guards against a withdrawn key that a VM without store access still accepts."""
        with ProcessGroup() as group:
            fleet = deployment(group, "vm-1", "vm-2", "vm-3", "vm-4")
            fleet.platform_routes = {"vm-4": free_address("127.0.0.3")}
            await fleet.start()
            await trio.sleep(1)  # Waits until each VM's share of the rate yields its first tokens.
            assert [await get_status(fleet, vm) for vm in fleet.vms] == [200] * 4
            store = HttpObjectStore(fleet.platform_address)
            await store.delete(f"keys/{hash_key('key')}", None)
            with trio.fail_after(5):
                for vm in fleet.vms:
                    while await get_status(fleet, vm) != 401:
                        await trio.sleep(0.05)
            answer = await fleet.call("vm-4", "/-/status")
            assert json.loads(answer.body)["store_reachable"] is False


class TestRestartDuringOutage:
    """A VM that starts during a store outage gets its configuration from a quorum of peers."""

    async def test_restarted_vm_serves_newest_quorum_configuration(self) -> None:
        """Guards against a restart that reverts a document, never gets ready or trusts one peer."""
        with ProcessGroup() as group:
            fleet = deployment(group, "vm-1", "vm-2", "vm-3")
            await fleet.start()
            newer = copy.deepcopy(fleet.documents[0])
            newer["routes"] = [{"name": "new", "path_prefix": "/new"}]
            written = await HttpObjectStore(fleet.platform_address).put(
                "documents/records", newer, None
            )
            for vm in fleet.vms:
                with trio.fail_after(9):
                    while await get_status(fleet, vm, "/records/old") != 404:
                        await trio.sleep(0.05)
            await set_outage(fleet, True)
            fleet.vms["vm-3"].kill()
            # While the peers' confirmation by the store is at most 5 s old, a VM needs no quorum.
            await trio.sleep(6)
            await fleet.start_vm("vm-3").wait_for_event("ready")
            known = json.loads((await fleet.call("vm-3", "/-/status")).body)
            assert known["revision"] >= written.ok_value
            assert known["quorum"]
            await trio.sleep(1)
            assert await get_status(fleet, "vm-3", "/records/old") == 404
            assert await get_status(fleet, "vm-3", "/records/new") == 200
            await self.check_single_peer_is_no_quorum(fleet)

    @staticmethod
    async def check_single_peer_is_no_quorum(fleet: Deployment) -> None:
        """Restart a VM while only one peer is running, which is no quorum."""
        fleet.vms["vm-2"].kill()
        fleet.vms["vm-3"].kill()
        await fleet.start_vm("vm-3").wait_for_event("listening")
        await trio.sleep(2)
        assert json.loads((await fleet.call("vm-3", "/-/status")).body)["revision"] > 0
        assert (await fleet.call("vm-3", "/-/ready")).status == 503
        assert await get_status(fleet, "vm-3", "/records/new") == 503


class TestStoreCalls:
    """The number of store calls grows with the regions, not with the VMs."""

    async def test_vms_that_do_not_watch_add_no_calls(self) -> None:
        """Guards against one watch for each of 520 VMs, more than the store allows."""
        with ProcessGroup() as group:
            fleet = deployment(group, "vm-1", "vm-2", zones=("mx-a1",))
            await fleet.start()
            few = await self.count_calls(4, fleet)
            for number in range(3, 8):
                fleet.add_vm(f"vm-{number}", "mx-a1")
            for vm in list(fleet.vm_zones)[2:]:
                fleet.start_vm(vm)
            for vm in fleet.vms.values():
                await vm.wait_for_event("ready")
            await trio.sleep(2)
            many = await self.count_calls(4, fleet)
            # One watch of each watcher may fall on either side of the interval, and the holder of
            # the lease lists the ledgers every 5 s.
            assert many["watch"] <= few["watch"] + 2
            assert many["list"] <= few["list"] + 1

    @staticmethod
    async def count_calls(seconds: float, fleet: Deployment) -> Counter:
        """Return the store calls by kind during an interval."""
        counts: list[Counter] = []
        for _ in range(2):
            request = Request("GET", "/standin/calls")
            answer = await fetch(fleet.platform_address, request, 1_000)
            counts.append(Counter(json.loads(answer.ok_value.body)["calls"]))
            await trio.sleep(0 if len(counts) == 2 else seconds)
        return counts[1] - counts[0]
