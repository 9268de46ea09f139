"""Test the routing table, its codec and the service split."""

import random

from result import Err, Ok
from support.gateway import route, stored, table

from wagtailbay.replica import from_value, to_value
from wagtailbay.routing import (
    LiveRouting,
    RoutePart,
    RoutingTable,
    ServiceSplitter,
    Workspace,
)


class TestRoutingTable:
    """Find routes and workspaces."""

    def test_longest_prefix_of_the_host_wins(self):
        """Guards against a request that runs on a route meant for others."""
        near, far = route("near", path_prefix="/a/b/"), route("far")
        found = table(far, near).find_route("H.example:80", "/a/b/c")
        assert found is near
        assert table(far, near).find_route("h.example", "/a/x") is far
        assert table(far, near).find_route("h.example", "/b/x") is None
        assert table(far, near).find_route("other.example", "/a/x") is None

    def test_key_names_its_workspace_only(self):
        """Guards against a request that runs for another workspace."""
        known = Workspace("unam", frozenset({"k1"}))
        found = table(workspaces=(known,))
        assert found.find_workspace("k1") is known
        assert found.find_workspace("k2") is None


class TestTableCodec:
    """Carry a table between VMs."""

    def test_round_trip(self):
        """Guards against a field that is lost on the way to another VM."""
        workspaces = (Workspace("unam", frozenset({"k1", "k2"}), 1, 10.0, 5.0, frozenset({"n"})),)
        before = table(route(allowed_regions=frozenset({"n", "s"})), workspaces=workspaces)
        assert from_value(to_value(before), RoutingTable) == Ok(before)

    def test_unusable_value_is_an_error(self):
        """Guards against a VM that fails on another release's value."""
        assert isinstance(from_value({"version": "x"}, RoutingTable), Err)


class TestLiveRouting:
    """Put newer tables in force."""

    def test_older_table_never_comes_back(self):
        """Guards against a configuration that reverts within one run of a VM."""
        live = LiveRouting()
        live.take_in(stored("routing/", "main", 5, to_value(table(version=7))))
        live.take_in(stored("routing/", "main", 6, to_value(table(version=6))))
        assert live.table.version == 7

    def test_unusable_table_leaves_the_former_in_force(self):
        """Guards against a lost configuration after bad input."""
        live = LiveRouting()
        live.take_in(stored("routing/", "main", 5, to_value(table(version=7))))
        live.take_in(stored("routing/", "main", 6, {"version": 8}))
        assert live.table.version == 7
        live.take_in(stored("routing/", "main", 7, to_value(table(version=9))))
        assert live.table.version == 9


class TestServiceSplitter:
    """Divide requests by weight."""

    def test_shares_follow_the_weights(self):
        """Guards against a part that gets more or less than its weight."""
        parts = (RoutePart("a", 70), RoutePart("b", 30), RoutePart("c", 0))
        splitter = ServiceSplitter(random.Random(1))
        picks = [splitter.pick(route(parts=parts)) for _ in range(100)]
        assert abs(picks.count("a") - 70) <= 1
        assert picks.count("c") == 0

    def test_changed_weights_hold_from_the_next_request(self):
        """Guards against an old split that goes on after a change."""
        splitter = ServiceSplitter(random.Random(1))
        splitter.pick(route(parts=(RoutePart("a", 1), RoutePart("b", 1))))
        parts = (RoutePart("a", 1), RoutePart("d", 9))
        picks = [splitter.pick(route(parts=parts)) for _ in range(100)]
        assert abs(picks.count("d") - 90) <= 1
        assert "b" not in picks
