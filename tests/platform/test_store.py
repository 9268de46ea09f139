"""Tests of the client of the platform's store against a stand-in."""

import json

import pytest
from result import Err, Ok
from support.gateway import config_spec
from support.raw_target import RawExchange, RawTarget, repeat_late

from wagtailbay.platform import PlatformStore
from wagtailbay.rollout import RolloutOrder, RolloutPhase
from wagtailbay.store import HistoryLost, OutcomeUnknown, StoreUnavailable, VersionConflict
from wagtailbay_standins.objects import ObjectApiStandin


@pytest.fixture
async def api(nursery):
    """Return a running stand-in and a client connected to it."""
    stand_in = ObjectApiStandin()
    return stand_in, PlatformStore(await nursery.start(stand_in.serve))


class TestPlatformStore:
    """Objects are listed, watched and written, and failures are classified."""

    async def test_listing_reads_all_pages(self, api):
        """Guards against treating objects beyond the first page as deleted."""
        stand_in, store = api
        for number in range(120):
            stand_in.put_spec("evacuations", f"zone-{number:03}", {})
        listing = (await store.list(("evacuations/",))).ok_value
        assert len(listing.objects) == 120
        assert listing.revision == stand_in.table.revision

    async def test_watch_returns_changes_and_deletions(self, api):
        """Guards against missing a change or a deletion."""
        stand_in, store = api
        stand_in.put_spec("evacuations", "z1", {})
        listing = (await store.watch(("evacuations/",), 0, 1_000)).ok_value
        assert [(o.key, o.value) for o in listing.objects] == [("evacuations/z1", {})]
        stand_in.remove("evacuations", "z1")
        listing = (await store.watch(("evacuations/",), listing.revision, 1_000)).ok_value
        assert [(o.key, o.value) for o in listing.objects] == [("evacuations/z1", None)]

    async def test_lost_history_is_reported(self, api):
        """Guards against an undetected gap in the history of a watch."""
        stand_in, store = api
        stand_in.oldest_revision = 10
        assert await store.watch(("evacuations/",), 5, 1_000) == Err(HistoryLost())

    async def test_writes_check_the_expected_version(self, api):
        """Guards against two VMs that overwrite each other's objects."""
        _, store = api
        created = await store.put("vms/a", {"address": "x"}, 0)
        assert isinstance(created, Ok)
        duplicate = await store.put("vms/a", {"address": "y"}, 0)
        assert isinstance(duplicate.err_value, VersionConflict)
        stale = await store.put("vms/a", {"address": "y"}, created.ok_value + 5)
        assert isinstance(stale.err_value, VersionConflict)
        assert isinstance(await store.put("vms/a", {"address": "z"}, created.ok_value), Ok)
        assert (await store.get("vms/a")).ok_value.value == {"address": "z"}
        assert await store.get("vms/b") == Ok(None)

    async def test_rollout_state_write_checks_the_order_version(self, api):
        """Guards against writing the state of a rollout after its order was changed."""
        stand_in, store = api
        spec = {"service": "records", "target_version": "v2", "duration": "12s"}
        revision = stand_in.put_spec("rollouts", "records", spec)
        order = RolloutOrder("records", "v2", 12.0, revision)
        conflicting = await store.write_phase(order, revision + 1, RolloutPhase.COMPLETE)
        assert isinstance(conflicting.err_value, VersionConflict)
        assert isinstance(await store.write_phase(order, revision, RolloutPhase.RUNNING), Ok)
        written = {"state": "running", "target_version": "v2"}
        assert stand_in.status("rollouts", "records") == written

    @pytest.mark.parametrize("status", [429, 503])
    async def test_rejected_write_is_reported_as_not_done(self, api, status):
        """Guards against treating a rejected write as done, or its outcome as unknown."""
        stand_in, store = api
        stand_in.error_status = status
        assert isinstance((await store.put("vms/a", {}, 0)).err_value, StoreUnavailable)
        assert isinstance((await store.list(("vms/",))).err_value, StoreUnavailable)

    async def test_other_failures_are_reported_as_unknown_outcome(self, api):
        """Guards against repeating a write that took effect."""
        stand_in, store = api
        stand_in.error_status = 500
        assert isinstance((await store.put("vms/a", {}, 0)).err_value, OutcomeUnknown)

    async def test_malformed_object_does_not_hide_others(self, api):
        """Guards against one malformed object that hides all others of its kind."""
        stand_in, store = api
        stand_in.put_spec("config", "draft", "not a configuration")
        stand_in.put_spec("config", "main", config_spec())
        listing = (await store.list(("routing/",))).ok_value
        assert [stored.key for stored in listing.objects] == ["routing/main"]


class TestRepeatedAnswers:
    """The store's answers carry no ID, so only its connection proves to which call one belongs."""

    # Guards against issue 34: a copy of an answer, late, on a connection that is in use again.
    async def test_late_copy_is_not_the_answer_to_the_next_call(self, nursery):
        """Guards against an object, revision or conflict that belongs to an earlier call."""

        def answer_with_name(exchange: RawExchange) -> str:
            name = exchange.head.split(" ")[1].rpartition("/")[2]
            body = json.dumps({"meta": {"name": name, "revision": 7}, "spec": {"address": name}})
            return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}"

        target = RawTarget(repeat_late(answer_with_name))
        host, port = await nursery.start(target.serve)
        store = PlatformStore(f"{host}:{port}")
        for name in ("a", "b", "c"):
            stored = (await store.get(f"vms/{name}")).ok_value
            assert (stored.key, stored.value) == (f"vms/{name}", {"address": name})
        assert [exchange.number for exchange in target.exchanges] == [1, 1, 1]
