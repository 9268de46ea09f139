"""Tests of link faults with the link stand-in running as a process."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from wagtailbay.settings.checks import split_address
from wagtailbay.transport import (
    ConnectionPool,
    FailureKind,
    HttpServer,
    Reply,
    Request,
    TransportError,
)
from wagtailbay_bench.network import LinkFault, Network
from wagtailbay_bench.processes import ProcessGroup, free_address
from wagtailbay_standins.link import Link

LINK = ("vm-1", "target")
REQUEST = Request("GET", "/")


async def handle_request(request: Request, reply: Reply) -> None:
    """Answer every request with status 200."""
    await reply.send_json(200, {})


@asynccontextmanager
async def run_link() -> AsyncIterator[tuple[Network, ConnectionPool, str]]:
    """Run a server behind a link and yield the network, a client pool and the server address."""
    address = free_address("127.0.0.6")
    with ProcessGroup() as group:
        async with trio.open_nursery() as nursery:
            await nursery.start(HttpServer(handle_request).serve, split_address(address))
            network = Network({"n": "north", "s": "south"}, {"vm-1": "n", "target": "s"})
            route = network.add_link(*LINK, address)
            await network.start(group)
            yield network, ConnectionPool(routes={address: route}), address
            nursery.cancel_scope.cancel()


async def fetch_error(pool: ConnectionPool, address: str) -> TransportError:
    """Send a request with a timeout of 400 ms and return its error."""
    return (await pool.fetch(address, REQUEST, 400)).unwrap_err()


class TestLinkFault:
    """Tests of the duration of link faults and their effect on clients."""

    async def test_cut_link_refuses_connections_until_restored(self) -> None:
        """Guards against a cut link that still accepts connections or stays cut.

        It must refuse connections until the fault ends, and accept them afterwards.
        """
        async with run_link() as (network, pool, address):
            assert (await pool.fetch(address, REQUEST, 2_000)).is_ok()
            async with network.inject_fault(LinkFault(frozenset({LINK}), cut=True)):
                assert not network.is_open(LINK)
                await pool.close()
                assert (await fetch_error(pool, address)).kind is FailureKind.CONNECT
            with trio.fail_after(2):
                while (await pool.fetch(address, REQUEST, 400)).is_err():
                    await trio.sleep(0.05)

    async def test_frozen_link_accepts_but_forwards_nothing(self) -> None:
        """Guards against a frozen link that refuses connections or still forwards data.

        Its clients must see only a timeout after they sent the request.
        """
        async with run_link() as (network, pool, address):
            async with network.inject_fault(LinkFault(frozenset({LINK}), frozen=True)):
                error = await fetch_error(pool, address)
                assert error.kind is FailureKind.TIMEOUT
                assert error.request_sent
            assert (await pool.fetch(address, REQUEST, 2_000)).is_ok()

    async def test_overlapping_faults_end_independently(self) -> None:
        """Guards against restoring a link that another fault still cuts.

        Of two overlapping faults, the end of one must not end the other.
        """
        async with run_link() as (network, pool, address):
            cut = LinkFault(frozenset({LINK}), cut=True)
            async with network.inject_fault(cut):
                async with network.inject_fault(cut):
                    pass
                assert (await fetch_error(pool, address)).kind is FailureKind.CONNECT
            assert network.is_open(LINK)


class TestLinkCut:
    """Tests of cutting a link."""

    async def test_cut_takes_effect_before_change_returns(self) -> None:
        """Guards against a cut link that still accepts connections after the change returns.

        A listener closed later would accept the first connections and then close them.
        """
        link = Link(free_address("127.0.0.6"), free_address("127.0.0.6"))
        with socket.create_server(split_address(link.upstream_address)):
            async with trio.open_nursery() as nursery:
                await nursery.start(link.run)
                for _ in range(20):
                    await link.update(cut=True)
                    # Connecting blocks this thread, so the link cannot run in the meantime.
                    with pytest.raises(ConnectionRefusedError):
                        socket.create_connection(split_address(link.listen_address), timeout=1)
                    await link.update(cut=False)
                    with trio.fail_after(2):
                        while not link.listening:
                            await link.changed.wait()
                nursery.cancel_scope.cancel()


class TestLinkDelay:
    """Tests of the delay of 35 ms in each direction between regions."""

    async def test_delay_applies_to_both_directions(self) -> None:
        """Guards against a link that delays only one direction, or none.

        Its response would arrive before the delay of both directions has passed.
        """
        async with run_link() as (network, pool, address):
            started_s = trio.current_time()
            assert (await pool.fetch(address, REQUEST, 2_000)).is_ok()
            assert 0.07 <= trio.current_time() - started_s < 0.3
            assert network.delay_ms(LINK) == 35.0


class TestUnreachableDestination:
    """Tests of links whose destination refuses connections."""

    async def test_link_refuses_after_destination_is_found_down(self) -> None:
        """Guards against a link that accepts connections while its destination refuses them.

        Otherwise a target that has ended would still appear to accept connections.
        """
        address = free_address("127.0.0.6")
        with ProcessGroup() as group:
            network = Network({"n": "north"}, {"vm-1": "n", "target": "n"})
            pool = ConnectionPool(routes={address: network.add_link(*LINK, address)})
            await network.start(group)
            await fetch_error(pool, address)
            with trio.fail_after(2):
                while (await fetch_error(pool, address)).kind is not FailureKind.CONNECT:
                    await trio.sleep(0.02)
            with socket.create_server(split_address(address)), trio.fail_after(2):
                while (await fetch_error(pool, address)).kind is not FailureKind.TIMEOUT:
                    await trio.sleep(0.02)
