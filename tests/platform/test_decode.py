"""Tests of decoding the platform's objects from raw JSON values."""

import pytest
from result import Ok
from support.gateway import config_spec, server_fields

from wagtailbay.decoding import DECODE_ERRORS
from wagtailbay.platform.decode import (
    decode_rollout_order,
    decode_routing_table,
    decode_target_entry,
)
from wagtailbay.platform.durations import format_duration_ms, parse_duration_ms
from wagtailbay.platform.objects import (
    decode_stored_object,
    decode_watch_events,
    kind_for_prefix,
    split_object_key,
)
from wagtailbay.replica import from_value
from wagtailbay.rollout import RolloutPhase
from wagtailbay.routing import RoutingTable


def item(name: str, revision: int, **fields) -> dict:
    """Return an object in the form in which the store lists it."""
    meta = {"name": name, "revision": revision, "created": 3, "finalizers": [], "deleting": False}
    return {"meta": meta, "spec": None, "status": None, **fields}


class TestDurations:
    """Durations are parsed and formatted with their units."""

    def test_units_are_converted(self):
        """Guards against confusing seconds and milliseconds."""
        assert parse_duration_ms("1500ms") == 1500.0
        assert parse_duration_ms("2.5s") == 2500.0
        assert format_duration_ms(2_000.0) == "2000ms"

    @pytest.mark.parametrize("value", ["", "5", "5 s", "5m", None, 5, True])
    def test_value_without_valid_unit_is_an_error(self, value):
        """Guards against guessing the unit of a duration without one."""
        with pytest.raises(ValueError, match="expected a number"):
            parse_duration_ms(value)


class TestConfiguration:
    """Configurations are decoded into routing tables."""

    def test_platform_fields_are_mapped(self):
        """Guards against routing by rules that differ from the operator's configuration."""
        table = decode_routing_table(config_spec())
        first, second = table.routes
        assert table.version == 7
        assert [(part.service, part.weight) for part in first.parts] == [
            ("records", 90.0),
            ("other", 10.0),
        ]
        assert (first.idempotent, first.timeout_ms, first.latency_goal_ms) == (True, 1500, 600)
        assert first.allowed_regions == {"north"}
        assert (second.idempotent, second.timeout_ms, second.sticky) == (False, 2000, False)
        assert second.latency_goal_ms == 2000
        workspace = table.find_workspace("key-2")
        assert (workspace.workspace, workspace.rate_per_s, workspace.priority) == ("unam", 134, 1)
        assert table.services_by_name["records"].cold_ms == 3000

    def test_stored_value_round_trips(self):
        """Guards against a stored configuration that other VMs cannot decode."""
        stored = decode_stored_object("routing/", item("main", 9, spec=config_spec()))
        assert from_value(stored.value, RoutingTable) == Ok(decode_routing_table(config_spec()))

    @pytest.mark.parametrize(
        "broken",
        [
            {"version": None},
            {"version": "xyz"},
            {"routes": [{"name": "r"}]},
            {"limits": {}},
            {"services": "many"},
            {"tenants": [{"api_keys": []}]},
        ],
    )
    def test_malformed_configuration_is_dropped(self, broken):
        """Guards against exiting, or applying part of a configuration, on malformed input."""
        assert decode_stored_object("routing/", item("main", 9, spec=config_spec(**broken))) is None

    def test_configuration_with_another_name_is_ignored(self):
        """Guards against applying a draft configuration."""
        assert decode_stored_object("routing/", item("draft", 9, spec=config_spec())) is None


class TestTargetEntries:
    """Target entries are decoded, and malformed ones are dropped."""

    def test_info_and_status_fields_are_decoded(self):
        """Guards against a target with the wrong zone, slots or state."""
        entry = decode_target_entry(
            item("i-1", 4, **server_fields("10.1.2.3:80", state="draining", cold_left="1.5s")),
            "i-1",
        )
        assert (entry.target, entry.address, entry.service) == ("i-1", "10.1.2.3:80", "records")
        assert (entry.availability_zone, entry.slots, entry.version) == ("z1", 7, "v1")
        assert entry.draining
        assert entry.cold_remaining_ms == 1500
        assert entry.born_unix_ms == 1_700_000_000_000

    def test_fields_in_the_spec_are_decoded(self):
        """Guards against dropping an entry whose writer put the fields into the spec."""
        entry = decode_target_entry(item("i-1", 4, spec=server_fields("10.1.2.3:80")), "i-1")
        assert entry.address == "10.1.2.3:80"

    @pytest.mark.parametrize(
        "broken",
        [
            {"address": 5},
            {"address": "nowhere"},
            {"info": {"service": "records"}},
            {"info": {"service": "records", "version": "v1", "zone": "z1", "slots": "7"}},
            {"info": {"service": 1, "version": "v1", "zone": "z1", "slots": 7}},
            {"status": {"state": "sleeping", "cold_left": "0ms"}},
            {"status": {}},
            {"status": {"state": "ready", "cold_left": 5}},
            {"born": 1.5},
            {"born": "yesterday"},
        ],
    )
    def test_malformed_entry_is_dropped(self, broken):
        """Guards against sending requests to a target with a malformed entry."""
        fields = server_fields("10.1.2.3:80") | broken
        assert decode_stored_object("targets/", item("i-1", 4, **fields)) is None

    def test_object_without_meta_is_dropped(self):
        """Guards against one malformed object that fails a whole listing."""
        assert decode_stored_object("targets/", {"spec": {}}) is None
        assert decode_stored_object("targets/", {"meta": {"name": "i", "revision": None}}) is None


class TestRolloutOrders:
    """Rollout orders are decoded together with their recorded phase."""

    def decode_order(self, **fields):
        """Return the order decoded from an object with the given fields."""
        spec = {"service": "records", "target_version": "v2", "duration": "12s"}
        return decode_rollout_order(item("records", 8, spec=spec, **fields))

    def test_new_order_has_no_outcome(self):
        """Guards against treating a new order as a finished one."""
        order = self.decode_order()
        assert (order.target_version, order.duration_s) == ("v2", 12.0)
        assert order.phase is RolloutPhase.ORDERED
        assert order.created_revision == 3

    def test_state_of_another_version_is_ignored(self):
        """Guards against ending a rollout because an earlier one of the service ended."""
        own = {"state": "complete", "target_version": "v2"}
        assert self.decode_order(status=own).phase is RolloutPhase.COMPLETE
        earlier = {"state": "complete", "target_version": "v1"}
        assert self.decode_order(status=earlier).phase is RolloutPhase.ORDERED

    def test_missing_field_raises_a_decode_error(self):
        """Guards against an exception type that callers do not catch."""
        with pytest.raises(DECODE_ERRORS):
            decode_rollout_order(item("records", 8, spec={"service": "records"}))


class TestObjectKeys:
    """The product's keys and watch events are mapped from and to the platform's objects."""

    def test_prefixes_map_to_kinds(self):
        """Guards against storing the product's own objects under a kind of the platform."""
        assert kind_for_prefix("targets/") == "servers"
        assert split_object_key("vms/10.0.0.1") == ("wagtailbay-vms", "10.0.0.1")

    def test_only_the_last_event_of_an_object_is_applied(self):
        """Guards against keeping a deleted object, and losing one that was created again."""
        events = [
            {"object": item("a", 5, spec={}), "deleted": True},
            {"object": item("b", 6, spec={}), "deleted": True},
            {"object": item("b", 7, spec={}), "deleted": False},
        ]
        found = {o.key: o for o in decode_watch_events("evacuations/", events, 9)}
        assert (found["evacuations/a"].value, found["evacuations/a"].version) == (None, 9)
        assert (found["evacuations/b"].value, found["evacuations/b"].version) == ({}, 7)
