"""Tests of the rule that a connection carries no request ID twice."""

import trio
from support.raw_target import RawExchange, RawTarget, repeat_late

from wagtailbay.transport import ConnectionPool, Request
from wagtailbay.transport.carried import CarriedRequests
from wagtailbay.transport.const import MAX_REQUESTS_PER_CONNECTION

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


async def serve(stream: trio.SocketStream) -> None:
    """Send the same response after each receive."""
    async for _ in stream:
        await stream.send_all(RESPONSE)


async def start_server(nursery) -> str:
    """Start a server and return its address."""
    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


async def use_connection(pool: ConnectionPool, address: str, request_id: str) -> int:
    """Exchange a request and return the number of its connection."""
    connection = (await pool.acquire(address, 1_000, request_id)).unwrap()
    assert (await connection.send(Request("GET", "/"))).is_ok()
    await connection.receive_chunk()
    await pool.release(connection)
    return connection.number


class TestRequestIds:
    """The pool never sends two requests with the same ID on one connection."""

    # Guards against issue 34: a copy of the response to the first one has the right ID.
    async def test_id_that_a_connection_has_carried_gets_another_one(self, nursery):
        """Guards against a second request whose response could be a copy of the first one's."""
        pool, address = ConnectionPool(), await start_server(nursery)
        first = await use_connection(pool, address, "id-1")
        assert await use_connection(pool, address, "id-2") == first
        second = await use_connection(pool, address, "id-1")
        assert second != first

    async def test_connection_stays_in_use_for_other_ids(self, nursery):
        """Guards against a connection to a target for each request after a refusal."""
        pool, address = ConnectionPool(), await start_server(nursery)
        first = await use_connection(pool, address, "id-1")
        second = await use_connection(pool, address, "id-1")
        used = {await use_connection(pool, address, f"other-{number}") for number in range(20)}
        assert used <= {first, second}

    async def test_request_without_an_id_gets_a_new_connection(self, nursery):
        """Guards against a response that nothing attributes to its request."""
        pool, address = ConnectionPool(), await start_server(nursery)
        first = await use_connection(pool, address, "id-1")
        assert await use_connection(pool, address, "") != first

    async def test_connection_with_a_full_record_is_closed(self, nursery):
        """Guards against a record that grows without limit or forgets an ID."""
        pool, address = ConnectionPool(), await start_server(nursery)
        numbers = [
            await use_connection(pool, address, f"id-{number}")
            for number in range(MAX_REQUESTS_PER_CONNECTION + 1)
        ]
        assert len(set(numbers[:-1])) == 1
        assert numbers[-1] != numbers[0]


class TestFetch:
    """A response without an ID belongs to the only request on its connection."""

    # Guards against issue 34, here for probes of targets: their responses carry no ID.
    async def test_late_copy_is_not_the_response_to_the_next_request(self, nursery):
        """Guards against the health or the load that a target reported before."""

        def answer_path(exchange: RawExchange) -> str:
            path = exchange.head.split(" ")[1]
            return f"HTTP/1.1 200 OK\r\nContent-Length: {len(path)}\r\n\r\n{path}"

        host, port = await nursery.start(RawTarget(repeat_late(answer_path)).serve)
        pool = ConnectionPool()
        for path in ("/health", "/load", "/health"):
            response = (await pool.fetch(f"{host}:{port}", Request("GET", path), 1_000)).unwrap()
            assert response.body == path.encode()


class TestRecord:
    """The record of a connection is exact and small."""

    def test_full_record_knows_each_id(self):
        """Guards against forgetting the oldest IDs, whose copies may still come."""
        carried = CarriedRequests()
        for number in range(MAX_REQUESTS_PER_CONNECTION):
            assert not carried.is_full
            carried.add(f"id-{number}")
        assert carried.is_full
        assert all(f"id-{number}" in carried for number in range(MAX_REQUESTS_PER_CONNECTION))
        assert "id-x" not in carried
        assert carried.hashes.itemsize * len(carried.hashes) <= 2_048
