"""Test the routing table, its serialization and the traffic split."""

import random

from result import Err, Ok
from support.gateway import make_objects, make_route, make_table

from wagtailbay.replica import from_value, to_value
from wagtailbay.routing import (
    ActiveRouting,
    RoutePart,
    RoutingTable,
    ServiceSplitter,
    Workspace,
)
from wagtailbay.routing.const import RESTORED_TABLE_DELAY_S
from wagtailbay.store import StorePosition


class TestRoutingTable:
    """Lookup of routes and workspaces."""

    def test_longest_prefix_of_the_host_wins(self):
        """Guards against handling a request by the rule of a less specific route."""
        specific, general = make_route("near", path_prefix="/a/b/"), make_route("far")
        found = make_table(general, specific).find_route("H.example:80", "/a/b/c")
        assert found is specific
        assert make_table(general, specific).find_route("h.example", "/a/x") is general
        assert make_table(general, specific).find_route("h.example", "/b/x") is None
        assert make_table(general, specific).find_route("other.example", "/a/x") is None

    def test_key_finds_only_its_workspace(self):
        """Guards against running a request for another workspace."""
        workspace = Workspace("unam", frozenset({"k1"}))
        found = make_table(workspaces=(workspace,))
        assert found.find_workspace("k1") is workspace
        assert found.find_workspace("k2") is None


class TestTableSerialization:
    """A table is serialized for transfer between VMs."""

    def test_round_trip(self):
        """Guards against fields lost in the transfer to another VM."""
        workspaces = (Workspace("unam", frozenset({"k1", "k2"}), 1, 10.0, 5.0, frozenset({"n"})),)
        before = make_table(
            make_route(allowed_regions=frozenset({"n", "s"})), workspaces=workspaces
        )
        assert from_value(to_value(before), RoutingTable) == Ok(before)

    def test_invalid_value_returns_an_error(self):
        """Guards against a VM that crashes on the value of another release."""
        assert isinstance(from_value({"version": "x"}, RoutingTable), Err)


class TestActiveRouting:
    """Only newer valid tables become active."""

    def test_older_table_is_ignored(self):
        """Guards against reverting to an older configuration while a VM runs."""
        active = ActiveRouting()
        active.apply(
            make_objects("routing/", "main", 5, to_value(make_table(version=7))), 0, 0.0, 0.0
        )
        active.apply(
            make_objects("routing/", "main", 6, to_value(make_table(version=6))), 0, 0.0, 0.0
        )
        assert active.table.version == 7

    def test_invalid_table_keeps_the_previous_one_active(self):
        """Guards against losing the configuration after invalid input."""
        active = ActiveRouting()
        active.apply(
            make_objects("routing/", "main", 5, to_value(make_table(version=7))), 0, 0.0, 0.0
        )
        active.apply(make_objects("routing/", "main", 6, {"version": 8}), 0, 0.0, 0.0)
        assert active.table.version == 7
        active.apply(
            make_objects("routing/", "main", 7, to_value(make_table(version=9))), 0, 0.0, 0.0
        )
        assert active.table.version == 9


class TestServiceSplitter:
    """Requests are divided by weight."""

    def test_shares_follow_the_weights(self):
        """Guards against a service that gets more or less than its weight."""
        parts = (RoutePart("a", 70), RoutePart("b", 30), RoutePart("c", 0))
        splitter = ServiceSplitter(random.Random(1))
        picks = [splitter.pick(make_route(parts=parts)) for _ in range(100)]
        assert abs(picks.count("a") - 70) <= 1
        assert picks.count("c") == 0

    def test_changed_weights_apply_to_the_next_request(self):
        """Guards against applying the previous weights after a change."""
        splitter = ServiceSplitter(random.Random(1))
        splitter.pick(make_route(parts=(RoutePart("a", 1), RoutePart("b", 1))))
        parts = (RoutePart("a", 1), RoutePart("d", 9))
        picks = [splitter.pick(make_route(parts=parts)) for _ in range(100)]
        assert abs(picks.count("d") - 90) <= 1
        assert "b" not in picks


class TestRestoredStore:
    """After the store came back from an older copy, its configuration counts in the end."""

    @staticmethod
    def stored(era: int, revision: int, table: RoutingTable) -> dict:
        """Return the replicated configuration."""
        version = StorePosition(era, revision).version
        return make_objects("routing/", "main", version, to_value(table))

    def test_lost_configuration_stays_until_it_is_written_again(self):
        """Guards against a VM that reverts for the moment in which the newer one is away."""
        active = ActiveRouting()
        active.apply(self.stored(1, 50, make_table(version=7)), 1, 0.0, 0.0)
        active.apply(self.stored(2, 20, make_table(version=6)), 2, 10.0, 10.0)
        assert active.table.version == 7
        active.apply(self.stored(2, 30, make_table(version=7)), 2, 11.0, 11.0)
        active.apply(self.stored(2, 30, make_table(version=7)), 2, 60.0, 60.0)
        assert active.table.version == 7

    def test_configuration_that_is_not_written_again_ends(self):
        """Guards against a lost configuration that stays in force for good."""
        active = ActiveRouting()
        active.apply(self.stored(1, 50, make_table(version=7)), 1, 0.0, 0.0)
        objects = self.stored(2, 20, make_table(version=6))
        active.apply(objects, 2, 10.0, 10.0)
        assert 0 < active.wait_s(10.0) <= RESTORED_TABLE_DELAY_S
        active.apply(objects, 2, 10.0 + RESTORED_TABLE_DELAY_S, 10.0 + RESTORED_TABLE_DELAY_S)
        assert active.table.version == 6
        active.apply(self.stored(1, 60, make_table(version=8)), 1, 20.0, 20.0)
        assert active.table.version == 6, "an older era changes nothing"

    def test_restored_configuration_waits_for_a_store_that_is_away(self):
        """Guards against a withdrawn key in use while the operator cannot write anything."""
        active = ActiveRouting()
        active.apply(self.stored(1, 50, make_table(version=7)), 1, 0.0, 0.0)
        objects = self.stored(2, 20, make_table(version=6))
        active.apply(objects, 2, 10.0, 10.0)
        active.apply(objects, 2, 30.0, 10.9)
        assert active.table.version == 7
        assert 0 < active.wait_s(30.0) < 1.0
        active.apply(objects, 2, 31.0, 30.9)
        assert active.table.version == 6

    def test_second_restore_gives_the_operator_time_again(self):
        """Guards against an older configuration in force after a series of restores."""
        active = ActiveRouting()
        active.apply(self.stored(1, 50, make_table(version=7)), 1, 0.0, 0.0)
        active.apply(self.stored(2, 20, make_table(version=6)), 2, 10.0, 10.0)
        objects = self.stored(3, 20, make_table(version=6))
        active.apply(objects, 3, 11.5, 11.5)
        active.apply(objects, 3, 10.0 + RESTORED_TABLE_DELAY_S, 10.0 + RESTORED_TABLE_DELAY_S)
        assert active.table.version == 7
        active.apply(objects, 3, 11.5 + RESTORED_TABLE_DELAY_S, 11.5 + RESTORED_TABLE_DELAY_S)
        assert active.table.version == 6

    def test_new_configuration_at_a_lower_revision_takes_effect_at_once(self):
        """Guards against changes that are ignored until the old revision is reached again."""
        active = ActiveRouting()
        active.apply(self.stored(1, 50, make_table(version=7)), 1, 0.0, 0.0)
        active.apply(self.stored(2, 21, make_table(version=9)), 2, 10.0, 10.0)
        assert active.table.version == 9
