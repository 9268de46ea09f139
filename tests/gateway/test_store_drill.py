"""Tests of a gateway whose store comes back from an older copy, as in a drill."""

import pytest
import trio
from support.gateway import config_spec, server_fields
from support.gateway_harness import GatewayHarness

from wagtailbay.quarantine import CRASH_PREFIX
from wagtailbay.store import StorePosition
from wagtailbay_standins.objects import ObjectCopy

AWAY_S = 0.5
# A change must take effect within this time, also after a drill.
CONFIG_APPLY_S = 2.5
EVACUATE_S = 5.0
WAIT_S = 10.0
UNRELATED_WRITES = 30


def spec_with_keys(version: int, *keys: str) -> dict:
    """Return a configuration in which a workspace has the given keys."""
    spec = config_spec(version=f"{version:08x}")
    spec["tenants"][0]["api_keys"] = list(keys)
    for route in spec["routes"]:
        route |= {"weighted_services": [], "service": "records", "home_regions": []}
        route["timeout"] = "20s"
    return spec


class Drill:
    """A gateway and its store, which can come back from a copy."""

    def __init__(self, harness: GatewayHarness) -> None:
        self.harness, self.api = harness, harness.api
        self.lost = 0

    async def run(self, copy: ObjectCopy, away_s: float = AWAY_S) -> None:
        """Take the store away, and bring it back from a copy."""
        self.api.is_away = True
        self.api.table.changed.notify()
        await trio.sleep(away_s)
        self.lost = len(self.api.restore(copy))
        self.api.is_away = False

    async def status_of(self, key: str) -> int:
        """Return the status of a request with a key."""
        response = await self.harness.send_request(Authorization=f"Token {key}")
        return response.status

    async def wait_for_status(self, key: str, status: int) -> float:
        """Return how long it takes until requests with a key get a status."""
        started_s = trio.current_time()
        with trio.fail_after(WAIT_S):
            while await self.status_of(key) != status:
                await trio.sleep(0.02)
        return trio.current_time() - started_s


async def start_drill(nursery: trio.Nursery) -> Drill:
    """Return a running gateway after some writes, so that revisions can go back."""
    harness = GatewayHarness()
    await harness.start(nursery)
    for number in range(UNRELATED_WRITES):
        harness.api.put_spec("other-kind", "x", {"n": number})
    return Drill(harness)


class TestDrill:
    """After the return, the gateway follows the store as if it had never known more."""

    async def test_changes_at_lower_revisions_take_effect(self, nursery):
        """Guards against changes that are ignored while revisions are lower than known ones."""
        drill = await start_drill(nursery)
        api = drill.api
        api.put_spec("config", "main", spec_with_keys(8, "key-1", "key-2"))
        copy = api.copy()
        for number in range(UNRELATED_WRITES):
            api.put_spec("config", "main", spec_with_keys(9 + number, "key-1", "key-2", "key-3"))
        await drill.wait_for_status("key-3", 200)
        known = api.table.revision
        await drill.run(copy)
        await trio.sleep(1.0)
        api.put_spec("config", "main", spec_with_keys(90, "key-2"))
        assert await drill.wait_for_status("key-1", 401) < CONFIG_APPLY_S
        assert await drill.status_of("key-2") == 200
        api.remove("servers", "t1")
        with trio.fail_after(CONFIG_APPLY_S):
            while drill.harness.node.registry.targets["t1"].removed_s is None:
                await trio.sleep(0.02)
        assert drill.lost >= 1
        assert api.table.revision < known, "revisions did not stay behind"

    async def test_requests_go_on_while_lost_objects_are_written_again(self, nursery):
        """Guards against a key or target that is refused while the operator writes it again."""
        drill = await start_drill(nursery)
        api = drill.api
        copy = api.copy()
        api.put_spec("config", "main", spec_with_keys(8, "key-1", "key-3"))
        host, _, port = next(
            iter(drill.harness.node.registry.targets.values())
        ).entry.address.partition(":")
        api.put_fields("servers", "t9", server_fields(f"{host}:{port}"))
        await drill.wait_for_status("key-3", 200)
        await drill.run(copy)
        statuses = set()
        for _ in range(15):
            statuses.add(await drill.status_of("key-3"))
            await trio.sleep(0.1)
        api.put_spec("config", "main", spec_with_keys(8, "key-1", "key-3"))
        api.put_fields("servers", "t9", server_fields(f"{host}:{port}"))
        for _ in range(20):
            statuses.add(await drill.status_of("key-3"))
            await trio.sleep(0.1)
        assert statuses == {200}
        assert drill.harness.node.registry.targets["t9"].removed_s is None
        assert await drill.status_of("key-2") == 401
        assert drill.lost >= 2

    @pytest.mark.parametrize("second_away_s", [AWAY_S, 2.0])
    async def test_configuration_stays_during_a_series_of_restores(self, nursery, second_away_s):
        """Guards against a withdrawn key in use, since the operator had no time to write again.

        The time began with the first return, and went on while the store was away again.
        """
        drill = await start_drill(nursery)
        api = drill.api
        api.put_spec("config", "main", spec_with_keys(8, "key-1", "key-2"))
        copy = api.copy()
        api.put_spec("config", "main", spec_with_keys(9, "key-2"))
        await drill.wait_for_status("key-1", 401)
        statuses = set()

        async def observe() -> None:
            while True:
                statuses.add(await drill.status_of("key-1"))
                await trio.sleep(0.02)

        async with trio.open_nursery() as observers:
            observers.start_soon(observe)
            await drill.run(copy)
            await trio.sleep(1.2)
            await drill.run(copy, second_away_s)
            await trio.sleep(1.0)
            api.put_spec("config", "main", spec_with_keys(9, "key-2"))
            await trio.sleep(2.5)
            observers.cancel_scope.cancel()
        assert statuses == {401}
        assert await drill.status_of("key-2") == 200
        assert drill.harness.node.fleet.replica.era == 2

    async def test_orders_hold_until_they_are_written_again(self, nursery):
        """Guards against requests to an evacuated zone, and a roll-out that starts anew."""
        drill = await start_drill(nursery)
        node, api = drill.harness.node, drill.api
        copy = api.copy()
        order = {"service": "records", "target_version": "v2", "duration": "60s"}
        api.put_spec("evacuations", "z1", {})
        api.put_spec("rollouts", "records", order)
        with trio.fail_after(WAIT_S):
            while not node.registry.evacuated_zones or not node.version_splitter.progress:
                await trio.sleep(0.02)
        progress = node.version_splitter.progress["records"]
        await drill.run(copy)
        zones, same_order = set(), set()

        async def observe(duration_s: float) -> None:
            with trio.move_on_after(duration_s):
                while True:
                    zones.add(node.registry.evacuated_zones)
                    same_order.add(node.version_splitter.progress.get("records") is progress)
                    await trio.sleep(0.02)

        await observe(2.0)
        assert node.fleet.replica.value("evacuations/z1") is None, "the store lost nothing"
        api.put_spec("evacuations", "z1", {})
        api.put_spec("rollouts", "records", order)
        await observe(3.0)
        assert zones == {frozenset({"z1"})}
        assert same_order == {True}
        api.remove("evacuations", "z1")
        with trio.fail_after(CONFIG_APPLY_S):
            while node.registry.evacuated_zones:
                await trio.sleep(0.02)
        assert drill.lost >= 2

    async def test_order_that_is_not_written_again_ends(self, nursery):
        """Guards against an evacuation that stays in force although the store has lost it."""
        drill = await start_drill(nursery)
        node, api = drill.harness.node, drill.api
        copy = api.copy()
        api.put_spec("evacuations", "z1", {})
        with trio.fail_after(WAIT_S):
            while not node.registry.evacuated_zones:
                await trio.sleep(0.02)
        await drill.run(copy)
        with trio.fail_after(EVACUATE_S):
            while node.registry.evacuated_zones:
                await trio.sleep(0.02)
        assert b"wagtailbay_store_restores_total 1" in drill.harness.node.exporter.render_text()

    async def test_what_the_gateway_had_written_is_written_again(self, nursery):
        """Guards against a registration and crash counts that stay lost."""
        drill = await start_drill(nursery)
        node, api = drill.harness.node, drill.api
        copy = (1, {})
        crashes = node.handler.forwarder.crashes
        for target in ("t1", "t2"):
            crashes.record_crash("crashing", target, "GET /x", node.fleet.clock())
        kind = f"wagtailbay-{CRASH_PREFIX.rstrip('/')}"
        with trio.fail_after(WAIT_S):
            while not api.table.version(f"{kind}/fleet"):
                await trio.sleep(0.02)
        await drill.run(copy)
        assert not api.table.version(f"{kind}/fleet")
        with trio.fail_after(WAIT_S):
            while not api.table.version(f"{kind}/fleet"):
                await trio.sleep(0.02)
            while not api.table.version(f"wagtailbay-vms/{node.settings.vm}"):
                await trio.sleep(0.02)
        assert StorePosition.era_of(node.fleet.replica.revision) == 1
        assert drill.lost >= 4
