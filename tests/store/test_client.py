"""Test the object API client against malformed responses."""

import json

import pytest
from result import Err

from wagtailbay.store import HttpObjectStore, OutcomeUnknown, StoreUnavailable
from wagtailbay.transport import HttpServer, Reply, Request


class TestMalformedResponses:
    """A malformed response is returned as an error value."""

    @pytest.mark.parametrize(
        "body", [b"", b"<html>", b"[]", b"3", b'{"revision": 1}', b"[" * 99_999]
    )
    async def test_malformed_response_is_an_error_value(self, nursery, body: bytes) -> None:
        """Guards against a platform response that stops the process."""

        async def handle(request: Request, reply: Reply) -> None:
            await reply.send_response(200, (), body)

        _, port = await nursery.start(HttpServer(handle).serve, ("127.0.0.1", 0))
        store = HttpObjectStore(f"127.0.0.1:{port}")
        reads = [
            await store.get("k"),
            await store.list(["k"]),
            await store.watch(["k"], 0, 10),
            await store.vms(),
        ]
        assert all(isinstance(read.err_value, StoreUnavailable) for read in reads)
        for write in (await store.put("k", 1, 0), await store.delete("k", 1)):
            assert isinstance(write, Err)
            assert isinstance(write.err_value, OutcomeUnknown)


class TestOddObjects:
    """One malformed object is left out, and the others of the same response are followed."""

    @pytest.mark.parametrize(
        "odd",
        [
            b"7",
            b'{"key": "odd", "value": 1}',
            b'{"key": "odd", "version": "4", "value": 1}',
            b'{"key": "odd", "version": 1e999, "value": 1}',
            b'{"key": "odd", "version": ' + b"9" * 40 + b', "value": 1}',
            b'{"key": "odd", "version": ' + b"9" * 5_000 + b', "value": 1}',
            b'{"key": ["odd"], "version": 4, "value": 1}',
            b'{"key": "\\ud800", "version": 4, "value": 1}',
            b'{"key": "odd\xff", "version": null, "value": 1}',
        ],
    )
    async def test_listing_keeps_the_other_objects(self, nursery, odd: bytes) -> None:
        """Guards against a VM that stops following the store because of one object."""
        good = b'{"key": "keys/%d", "version": %d, "value": {"workspace": "w"}}'
        objects = b", ".join((good % (1, 1), odd, good % (3, 3)))

        async def handle(request: Request, reply: Reply) -> None:
            await reply.send_response(200, (), b'{"revision": 9, "objects": [%b]}' % objects)

        _, port = await nursery.start(HttpServer(handle).serve, ("127.0.0.1", 0))
        store = HttpObjectStore(f"127.0.0.1:{port}")
        for response in (await store.list(["k"]), await store.watch(["k"], 0, 10)):
            listing = response.ok_value
            assert [stored.key for stored in listing.objects] == ["keys/1", "keys/3"]
            assert listing.revision == 9

    async def test_deeply_nested_value_does_not_hide_the_others(self, nursery) -> None:
        """Guards against a listing that is unreadable because of one nested value."""
        deep = b"[" * 100_000 + b"]" * 100_000
        body = (
            b'{"revision": 9, "objects": [{"key": "documents/odd", "version": 4, "value": %b},'
            b' {"key": "keys/1", "version": 5, "value": 1}]}' % deep
        )

        async def handle(request: Request, reply: Reply) -> None:
            await reply.send_response(200, (), body)

        _, port = await nursery.start(HttpServer(handle).serve, ("127.0.0.1", 0))
        listing = (await HttpObjectStore(f"127.0.0.1:{port}").list(["k"])).ok_value
        assert listing.objects[-1].key == "keys/1"

    async def test_odd_vm_record_is_left_out(self, nursery) -> None:
        """Guards against losing the whole VM list because of one record."""
        body = json.dumps(
            {
                "revision": 9,
                "vms": [
                    {"vm": "a", "address": "1", "availability_zone": "z", "state": "live"},
                    {"vm": "b", "address": 7, "availability_zone": "z", "state": "live"},
                    {"vm": "c", "new_field": 1},
                    None,
                ],
            }
        ).encode()

        async def handle(request: Request, reply: Reply) -> None:
            await reply.send_response(200, (), body)

        _, port = await nursery.start(HttpServer(handle).serve, ("127.0.0.1", 0))
        vm_list = (await HttpObjectStore(f"127.0.0.1:{port}").vms()).ok_value
        assert [vm.vm for vm in vm_list.vms] == ["a"]
