"""Test that a process survives arbitrary bytes on its peer port."""

import copy
import os

import trio

from wagtailbay.membership import PeerClient, PeerFailure
from wagtailbay.settings.checks import split_address
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.processes import ProcessGroup
from wagtailbay_bench.small_fleet import FLEET, RECORDS_SERVICE


class TestHostilePeer:
    """A VM rejects messages that it cannot decode and keeps running."""

    async def test_vm_keeps_serving_after_malformed_messages(self) -> None:
        """Guards against a message that crashes every VM that receives it."""
        with ProcessGroup() as group:
            fleet = Deployment(
                group, [copy.deepcopy(RECORDS_SERVICE)], FLEET, {"unam": "k"}, {"vm-1": "mx-a1"}
            )
            await fleet.start()
            address = fleet.peer_addresses["vm-1"]
            stream = await trio.open_tcp_stream(*split_address(address))
            await stream.send_all(os.urandom(5_000))
            client = PeerClient(lambda vm: address, None)
            for data in (b"\x00", b"\x0a\xff\xff\xff\xff\x0f", os.urandom(100_000)):
                answer = await client.exchange("vm-1", data)
                assert answer.err_value.kind is PeerFailure.REFUSED
            too_large = await client.exchange("vm-1", bytes(9_000_000))
            assert too_large.is_err()
            assert (await fleet.call("vm-1", "/records/x", workspace="unam")).status in (200, 429)
            events = [event["event"] for event in fleet.vms["vm-1"].events()]
            assert events.count("peer_message_malformed") == 3
            assert fleet.vms["vm-1"].process.poll() is None
            client.close_all()
