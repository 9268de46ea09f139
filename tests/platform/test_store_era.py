"""Test the store's client against a store that comes back from an older copy."""

import pytest
from result import Err, Ok

from wagtailbay.platform import PlatformStore
from wagtailbay.store import HistoryLost, OutcomeUnknown, StorePosition, VersionConflict
from wagtailbay_standins.objects import ObjectApiStandin

PREFIX = ("evacuations/",)


@pytest.fixture
async def api(nursery):
    """Return a stand-in of the store and a client of it."""
    stand_in = ObjectApiStandin(era=1)
    return stand_in, PlatformStore(await nursery.start(stand_in.serve))


class TestOrderOfStates:
    """States of the store are ordered by era first."""

    async def test_lower_revision_of_a_newer_era_is_newer(self, api):
        """Guards against changes that are ignored because revisions went back."""
        stand_in, store = api
        copy = stand_in.copy()
        stand_in.put_spec("evacuations", "z1", {})
        stand_in.put_spec("evacuations", "z2", {})
        before = (await store.list(PREFIX)).ok_value
        stand_in.restore(copy)
        stand_in.put_spec("evacuations", "z1", {})
        after = (await store.list(PREFIX)).ok_value
        assert after.revision > before.revision
        assert after.objects[0].version > max(stored.version for stored in before.objects)
        assert StorePosition.from_version(after.objects[0].version) == StorePosition(2, 1)

    @pytest.mark.parametrize("later_writes", [0, 5])
    async def test_watch_from_an_older_era_lists_again(self, api, later_writes):
        """Guards against events that are missed, also once the old revision is passed again."""
        stand_in, store = api
        copy = stand_in.copy()
        stand_in.put_spec("evacuations", "z1", {})
        known = (await store.list(PREFIX)).ok_value.revision
        stand_in.restore(copy)
        for number in range(later_writes):
            stand_in.put_spec("evacuations", f"z{number}", {"n": number})
        assert await store.watch(PREFIX, known, 50) == Err(HistoryLost())
        calls = len(stand_in.calls)
        assert await store.watch(PREFIX, known, 50) == Err(HistoryLost())
        if later_writes:
            assert len(stand_in.calls) == calls, "the era is known now"

    async def test_write_with_a_version_of_an_older_era_conflicts(self, api):
        """Guards against overwriting an object that was given the same revision again."""
        stand_in, store = api
        copy = stand_in.copy()
        version = (await store.put("vms/a", {"by": "first"}, 0)).ok_value
        stand_in.restore(copy)
        stand_in.put_spec("wagtailbay-vms", "a", {"by": "another"})
        # The first write learns the era from its answer, the second one knows it.
        unknown = await store.put("vms/a", {"by": "late"}, version)
        assert isinstance(unknown.err_value, OutcomeUnknown)
        refused = await store.put("vms/a", {"by": "later"}, version)
        assert isinstance(refused.err_value, VersionConflict)
        assert (await store.get("vms/a")).ok_value.value == {"by": "late"}

    async def test_list_of_vms_after_a_restore_is_newer(self, api):
        """Guards against VMs that follow a list which the store has lost."""
        stand_in, store = api
        registration = {"address": "127.0.0.1:1", "zone": "z1"}
        await store.put("vms/a", registration, 0)
        copy = stand_in.copy()
        await store.put("vms/b", registration, 0)
        before = (await store.vms()).ok_value
        stand_in.restore(copy)
        after = (await store.vms()).ok_value
        assert [record.vm for record in after.vms] == ["a"]
        assert after.revision > before.revision

    @pytest.mark.parametrize("header", ["x", "-1", "1.5", "", "９", "9" * 40])
    async def test_unusable_era_counts_as_absent(self, api, header):
        """Guards against an odd header that hides or reverts the store's objects."""
        stand_in, store = api
        stand_in.put_spec("evacuations", "z1", {})
        known = (await store.list(PREFIX)).ok_value
        stand_in.era = header.encode("utf-8").decode("latin-1")
        assert await store.list(PREFIX) == Ok(known)

    async def test_store_without_eras_keeps_its_revisions(self, api):
        """Guards against a store that states no era."""
        stand_in, store = api
        stand_in.era = None
        revision = stand_in.put_spec("evacuations", "z1", {})
        assert (await store.list(PREFIX)).ok_value.revision == revision
