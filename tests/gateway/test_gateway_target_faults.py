"""Tests of targets that send bytes that are no answer, or that belong to another request."""

import time
import tracemalloc

import pytest
import trio
from result import Ok
from support.gateway_harness import WAIT_S, GatewayHarness, start_raw_harness
from support.raw_target import RawExchange

from wagtailbay.gateway.const import MAX_BUFFERED_RESPONSE_BYTES
from wagtailbay.transport import FailureKind, Request
from wagtailbay.transport.const import MAX_HEADER_BYTES

CHUNK = "x" * 16_384
ENDLESS_HEADS = {
    "header_value": ("HTTP/1.1 200 OK\r\nX-Odd: ", CHUNK),
    "header_fields": ("HTTP/1.1 200 OK\r\n", "X-Odd: 1\r\n" * 1_000),
    "status_line": ("HTTP/1.1 200 ", CHUNK),
    "no_protocol": ("", CHUNK),
    "informational": ("", "HTTP/1.1 100 Continue\r\n\r\n" * 500),
}
SEALED_OK = "HTTP/1.1 200 OK\r\nResponse-Seal: seal\r\n"
ENDLESS_BODIES = {
    "until_close": (f"{SEALED_OK}\r\n", CHUNK),
    "chunks": (f"{SEALED_OK}Transfer-Encoding: chunked\r\n\r\n", f"4000\r\n{CHUNK}\r\n"),
    "chunk_header": (f"{SEALED_OK}Transfer-Encoding: chunked\r\n\r\n5;a=", CHUNK),
    "long_length": (f"{SEALED_OK}Content-Length: {10**15}\r\n\r\n", CHUNK),
    "other_request": (f"{SEALED_OK}Request-Id: other\r\n\r\n", CHUNK),
}
MAX_RESPONSE_BYTES = 2 * MAX_BUFFERED_RESPONSE_BYTES


def respond_with_status(status: int):
    """Return a script that sends a whole response with a status."""

    async def script(exchange: RawExchange) -> None:
        await exchange.send(
            f"HTTP/1.1 {status:03d} Odd\r\nResponse-Seal: seal\r\nRequest-Id: {exchange.request_id}"
            "\r\nContent-Length: 2\r\n\r\nok"
        )

    return script


def endless(start: str, chunk: str):
    """Return a script that answers without end."""

    async def script(exchange: RawExchange) -> None:
        await exchange.send_without_end(start, chunk)

    return script


async def answer(exchange: RawExchange) -> None:
    """Answer a request with its own ID as the body."""
    await exchange.answer(exchange.request_id)


async def start_harness(nursery, *scripts) -> GatewayHarness:
    """Return a running gateway with raw targets and a small limit for their responses."""
    harness = await start_raw_harness(nursery, *scripts)
    harness.node.handler.forwarder.max_response_bytes = MAX_RESPONSE_BYTES
    return harness


async def wait_until_closed(harness: GatewayHarness) -> None:
    """Wait until the gateway has closed its connections to all targets."""
    with trio.fail_after(WAIT_S):
        while any(target.open_connections for target in harness.targets.values()):
            await trio.sleep(0.01)


class TestInvalidStatuses:
    """A status outside 200 to 599 is a broken response."""

    @pytest.mark.parametrize("status", [0, 99, 101, 600, 999])
    async def test_unsafe_request_gets_502(self, nursery, status):
        """Guards against a caller that gets a status which HTTP does not define."""
        harness = await start_harness(nursery, respond_with_status(status))
        assert (await harness.send_request("/b/x", "POST")).status == 502

    async def test_safe_request_is_retried(self, nursery):
        """Guards against a request that fails although another target could serve it."""
        harness = await start_harness(nursery, respond_with_status(999), answer)
        for number in range(6):
            response = await harness.send_request("/a/x", Cookie=f"Affinity-Key={number}")
            assert response.status == 200


class TestEndlessAnswers:
    """An answer that never ends is cut at a limit in bytes, long before the deadline."""

    @pytest.mark.parametrize("parts", ENDLESS_HEADS.values(), ids=ENDLESS_HEADS.keys())
    async def test_endless_head_is_cut(self, nursery, parts):
        """Guards against reading the head of an answer until the memory is used up."""
        harness = await start_harness(nursery, endless(*parts))
        started_s = time.monotonic()
        response = await harness.send_request("/b/x")
        assert response.status == 502
        assert time.monotonic() - started_s < 15
        await wait_until_closed(harness)

    @pytest.mark.parametrize("parts", ENDLESS_BODIES.values(), ids=ENDLESS_BODIES.keys())
    async def test_endless_body_is_no_success(self, nursery, parts):
        """Guards against a caller that gets an endless body, or takes a part for the whole."""
        harness = await start_harness(nursery, endless(*parts))
        started_s = time.monotonic()
        request = Request(
            "GET",
            "/b/x",
            (("Request-Id", "own"), ("Authorization", "Token key-1")),
            host="h.example",
        )
        fetched = await harness.pool.fetch(harness.address, request, 30_000)
        if isinstance(fetched, Ok):
            assert fetched.ok_value.status == 502
        else:
            assert fetched.err_value.kind is not FailureKind.TOO_LARGE
        assert time.monotonic() - started_s < 15
        await wait_until_closed(harness)

    @pytest.mark.parametrize("parts", [ENDLESS_BODIES["chunks"], ENDLESS_HEADS["no_protocol"]])
    async def test_fifty_endless_answers_fit_into_memory(self, nursery, parts):
        """Guards against a VM that exceeds its memory when many targets misbehave at once."""
        harness = await start_harness(nursery, endless(*parts))
        registered = harness.node.registry.targets["t1"]
        object.__setattr__(registered.entry, "slots", 100)
        tracemalloc.start()
        async with trio.open_nursery() as requests:
            for number in range(50):
                path = f"/b/{number}"
                requests.start_soon(fetch_ignoring_result, harness, path)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak_bytes < 50 * (2 * MAX_BUFFERED_RESPONSE_BYTES + 4 * MAX_HEADER_BYTES)


async def fetch_ignoring_result(harness: GatewayHarness, path: str) -> None:
    """Send a request and read its response, complete or not."""
    headers = (("Request-Id", path), ("Authorization", "Token key-1"))
    request = Request("GET", path, headers, host="h.example")
    await harness.pool.fetch(harness.address, request, 30_000)


class TestForeignAnswers:
    """An answer to another request never reaches the caller."""

    async def test_late_second_copy_is_not_the_answer_of_the_next_caller(self, nursery):
        """Guards against a copy that arrives when its connection is in use again."""
        previous: list[str] = []

        async def answer_twice(exchange: RawExchange) -> None:
            own = exchange.answer_text(exchange.request_id)
            await exchange.send(*previous, own)
            previous[:] = [own]

        harness = await start_harness(nursery, answer_twice)
        for number in range(8):
            response = await harness.send_request(Request_Id=f"id-{number}")
            assert (response.status, response.body) == (200, f"id-{number}".encode())

    async def test_second_copy_on_an_idle_connection_is_not_used(self, nursery):
        """Guards against a copy that arrives between two requests."""

        async def answer_twice(exchange: RawExchange) -> None:
            await exchange.answer(exchange.request_id)
            await trio.sleep(0.02)
            await exchange.answer(exchange.request_id)

        harness = await start_harness(nursery, answer_twice)
        for number in range(4):
            response = await harness.send_request(Request_Id=f"id-{number}")
            assert (response.status, response.body) == (200, f"id-{number}".encode())
            await trio.sleep(0.05)

    async def test_rejection_of_another_request_is_not_trusted(self, nursery):
        """Guards against repeating a request because an earlier one was not run."""

        async def reject_other(exchange: RawExchange) -> None:
            await exchange.send(
                "HTTP/1.1 503 Full\r\nRequest-Id: other\r\nNot-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n"
            )
            await exchange.stream.aclose()

        harness = await start_harness(nursery, reject_other, reject_other)
        response = await harness.send_request("/b/x", "GET")
        assert response.status == 502
        assert len(harness.received_requests()) == 1


class TestTruncatedAnswers:
    """An answer that breaks off is never a complete success."""

    @pytest.mark.parametrize("body_bytes", [100, 2 * MAX_BUFFERED_RESPONSE_BYTES])
    @pytest.mark.parametrize("framing", ["Content-Length: 9999999", "Transfer-Encoding: chunked"])
    async def test_caller_does_not_get_a_complete_response(self, nursery, body_bytes, framing):
        """Guards against the beginning of an answer that is taken for all of it."""

        async def break_off(exchange: RawExchange) -> None:
            body = "x" * body_bytes
            if "chunked" in framing:
                body = f"{body_bytes:x}\r\n{body}\r\n"
            await exchange.send(
                f"{SEALED_OK}Request-Id: {exchange.request_id}\r\n{framing}\r\n\r\n", body
            )
            await exchange.stream.aclose()

        harness = await start_harness(nursery, break_off)
        headers = (("Request-Id", "own"), ("Authorization", "Token key-1"))
        request = Request("GET", "/b/x", headers, host="h.example")
        fetched = await harness.pool.fetch(harness.address, request, 30_000)
        assert not isinstance(fetched, Ok) or fetched.ok_value.status == 502


class TestOddHeaders:
    """A malformed header of a target does not fail the request or later ones."""

    @pytest.mark.parametrize(
        "header",
        [
            "Server-Load: \xb2,0,7",
            "Server-Load: " + "9" * 5_000 + ",0,7",
            "Server-Load: " + "9" * 400 + ",0,7",
            "Keep-Alive: timeout=" + "9" * 400,
            "Retry-After: \xb2",
            "Instance-Id: \xff",
        ],
    )
    async def test_answer_is_delivered(self, nursery, header):
        """Guards against one header that makes all later requests of a service fail."""

        async def answer_oddly(exchange: RawExchange) -> None:
            await exchange.answer("ok", header)

        harness = await start_harness(nursery, answer_oddly)
        for _ in range(3):
            assert (await harness.send_request()).status == 200
