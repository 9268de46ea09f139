"""Tests of objects that another writer left in the platform's store in an unusable form."""

import copy
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok
from support.gateway import config_spec, server_fields

from wagtailbay.membership import VmIdentity
from wagtailbay.membership.codec import DEFAULT_CODEC
from wagtailbay.membership.exchange import EntryBatch
from wagtailbay.membership.facts import FactBatch
from wagtailbay.membership.messages import ExchangeMessage
from wagtailbay.membership.models import Member, VmState
from wagtailbay.membership.wire import decode_exchange, encode_exchange
from wagtailbay.placement import ColdStartLimiter, PlacementQuery, TargetSelector
from wagtailbay.platform import PlatformStore
from wagtailbay.platform.objects import decode_stored_object, decode_watch_events
from wagtailbay.registry import TargetRegistry
from wagtailbay.transport import HttpServer, Reply, Request

DEEP = "[" * 100_000 + "]" * 100_000
HUGE = "9" * 5_000
PREFIXES = ("routing/", "targets/", "rollouts/", "evacuations/")

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**30, 10**400, -1, 2**64, float("inf"), float("nan"), 1e308, "\ud800"])
    | st.text(max_size=5),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=5), children, max_size=3),
    max_leaves=5,
)


def target_item(name: str, revision: int = 5, address: str = "10.0.0.1:80") -> dict:
    """Return the entry of a ready target in the form in which the store lists it."""
    return {"meta": {"name": name, "revision": revision}, **server_fields(address)}


def paths_of(value: object, prefix: tuple = ()) -> list[tuple]:
    """Return the paths to all members of a JSON value."""
    if not isinstance(value, dict | list):
        return [prefix]
    members = value.items() if isinstance(value, dict) else enumerate(value)
    return [prefix, *(path for key, item in members for path in paths_of(item, (*prefix, key)))]


def replace_member(value: dict, path: tuple, replacement: object) -> dict:
    """Return a copy of a JSON object with one member replaced."""
    changed = copy.deepcopy(value)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = replacement
    return changed


@st.composite
def damaged_items(draw, prefix: str) -> dict:
    """Draw a valid object of one kind with one member replaced by an arbitrary value."""
    spec = {
        "routing/": {"spec": config_spec()},
        "targets/": server_fields("10.0.0.1:80"),
        "rollouts/": {"spec": {"service": "s", "target_version": "v", "duration": "30s"}},
        "evacuations/": {"spec": {}},
    }[prefix]
    item = {"meta": {"name": "main", "revision": 5, "created": 3}, **spec}
    path = draw(st.sampled_from([path for path in paths_of(item) if path]))
    return replace_member(item, path, draw(JSON_VALUES))


class RawStore:
    """Serves prepared response bodies of the platform's store."""

    def __init__(self, body: str) -> None:
        self.body = body.encode("utf-8", errors="surrogatepass")

    async def serve(self, *, task_status) -> None:
        """Serve on a free loopback port and report the address."""
        await HttpServer(self.handle).serve(("127.0.0.1", 0), task_status=task_status)

    async def handle(self, request: Request, reply: Reply) -> None:
        """Respond with the prepared body."""
        await reply.send_response(200, (("Content-Type", "application/json"),), self.body)


async def start_store(nursery, body: str) -> PlatformStore:
    """Return a client of a store that responds with the given body."""
    host, port = await nursery.start(RawStore(body).serve)
    return PlatformStore(f"{host}:{port}")


ODD_TEXTS = {
    "nested": json.dumps(target_item("odd")).replace('"v1"', DEEP),
    "long_number": json.dumps(target_item("odd")).replace('"slots": 7', f'"slots": {HUGE}'),
    "infinite_number": json.dumps(target_item("odd")).replace('"slots": 7', '"slots": 1e999'),
    "large_revision": json.dumps(target_item("odd", revision=2**70)),
    "infinite_revision": json.dumps(target_item("odd")).replace(
        '"revision": 5', '"revision": 1e999'
    ),
    "port_out_of_range": json.dumps(target_item("odd", address="10.0.0.1:99999")),
    "port_of_many_digits": json.dumps(target_item("odd", address="10.0.0.1:" + HUGE)),
    "port_zero": json.dumps(target_item("odd", address="10.0.0.1:0")),
    "host_name": json.dumps(target_item("odd", address="target.example:80")),
    "long_cold_time": json.dumps(target_item("odd")).replace('"0ms"', f'"{HUGE}ms"'),
    "unencodable_name": json.dumps(target_item("odd")).replace('"odd"', '"\\ud800"'),
    "unhashable_name": json.dumps(target_item("odd")).replace('"odd"', "[1]"),
    "no_object": "7",
}


class TestOddEntries:
    """One unusable entry is left out, and the others of the same response are followed."""

    @pytest.mark.parametrize("text", ODD_TEXTS.values(), ids=ODD_TEXTS.keys())
    async def test_listing_keeps_the_other_entries(self, nursery, text):
        """Guards against a VM that stops following the targets because of one entry."""
        first, last = json.dumps(target_item("a")), json.dumps(target_item("z"))
        store = await start_store(nursery, f'{{"items": [{first}, {text}, {last}], "at": 9}}')
        listing = (await store.list(("targets/",))).ok_value
        assert [stored.key for stored in listing.objects] == ["targets/a", "targets/z"]
        assert listing.revision == 9

    @pytest.mark.parametrize("text", ODD_TEXTS.values(), ids=ODD_TEXTS.keys())
    async def test_watch_keeps_the_other_events(self, nursery, text):
        """Guards against a watch that fails again and again because of one entry."""
        events = ", ".join(
            f'{{"object": {item}, "deleted": false}}'
            for item in (json.dumps(target_item("a")), text, json.dumps(target_item("z")))
        )
        store = await start_store(nursery, f'{{"events": [{events}], "at": 9}}')
        listing = (await store.watch(("targets/",), 4, 1_000)).ok_value
        usable = [stored.key for stored in listing.objects if stored.value is not None]
        assert usable == ["targets/a", "targets/z"]
        assert all(stored.value is None for stored in listing.objects if "odd" in stored.key)

    async def test_odd_last_entry_does_not_end_the_listing(self, nursery):
        """Guards against losing the following pages if a page ends with an unnamed entry."""
        first = json.dumps(target_item("a"))
        store = await start_store(nursery, f'{{"items": [{first}, 7], "at": 9, "has_more": false}}')
        assert len((await store.list(("targets/",))).ok_value.objects) == 1

    async def test_odd_vm_record_is_left_out(self, nursery):
        """Guards against connecting to a VM at an address that is none."""
        items = [
            {"meta": {"name": name, "revision": 3}, "spec": spec}
            for name, spec in {
                "10.0.0.1": {"address": "10.0.0.1:700", "zone": "z1"},
                "10.0.0.2": {"address": {"deep": []}, "zone": "z1"},
                "10.0.0.3": {"address": "10.0.0.3:70000", "zone": "z1"},
                "10.0.0.4": 7,
            }.items()
        ]
        store = await start_store(nursery, json.dumps({"items": items, "at": 9}))
        assert [vm.vm for vm in (await store.vms()).ok_value.vms] == ["10.0.0.1"]


class TestDamagedObjects:
    """Objects with arbitrary members are either left out or safe to use."""

    @given(st.data())
    def test_damaged_object_never_raises(self, data):
        """Guards against an exception that ends the task which follows the store."""
        prefix = data.draw(st.sampled_from(PREFIXES))
        item = data.draw(damaged_items(prefix))
        decode_stored_object(prefix, item)
        decode_watch_events(prefix, [{"object": item}, {"object": item, "deleted": True}], 9)

    @given(JSON_VALUES)
    def test_arbitrary_event_never_raises(self, event):
        """Guards against an exception on an event that is no object."""
        assert decode_watch_events("targets/", [event], 9) == []

    @given(damaged_items("targets/"))
    def test_accepted_entry_can_be_used(self, item):
        """Guards against an entry that is accepted and makes every later selection fail."""
        stored = decode_stored_object("targets/", item)
        if stored is None:
            return
        registry = TargetRegistry()
        registry.apply({stored.key: stored}, {}, 1.0)
        (registered,) = registry.targets.values()
        selector = TargetSelector(
            "z1",
            {"z1": "north"},
            registry,
            dict,
            ColdStartLimiter("vm", lambda: ["vm"]),
            random.Random(1),
        )
        query = PlacementQuery(registered.entry.service, "object", 300.0)
        selected = selector.select(query, 1.0)
        assert isinstance(selected, Ok) or registered.entry.draining

    @given(st.data())
    def test_accepted_object_reaches_other_vms(self, data):
        """Guards against an object that makes every message to another VM fail."""
        prefix = data.draw(st.sampled_from(PREFIXES))
        stored = decode_stored_object(prefix, data.draw(damaged_items(prefix)))
        if stored is None:
            return
        identity = VmIdentity("10.0.0.9", 5, "10.0.0.9:1", "10.0.0.9:2", "z1")
        message = ExchangeMessage(
            sender=Member(identity, VmState.LIVE, 1),
            replica_revision=9,
            confirmed_age_ms=1.0,
            store_reachable=True,
            batch=EntryBatch(0, 9, False, (stored,)),
            facts=FactBatch((), 0, 0),
            facts_seen=0,
            facts_seen_incarnation=0,
            members=(),
        )
        decoded = decode_exchange(encode_exchange(message, DEFAULT_CODEC, 1.0), DEFAULT_CODEC, 1.0)
        assert decoded.ok_value.batch.objects == (stored,)
