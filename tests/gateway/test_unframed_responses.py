"""Tests of target responses that state no length, and end with their connection (issue 31)."""

import trio
from support.gateway_harness import WAIT_S, GatewayHarness, start_raw_harness
from support.raw_target import RawExchange

from wagtailbay.gateway.const import MAX_BUFFERED_RESPONSE_BYTES
from wagtailbay.settings.checks import split_address
from wagtailbay.transport.sockets import reset_on_close

SMALL_BODY = "five5"
LARGE_BODY = "x" * (2 * MAX_BUFFERED_RESPONSE_BYTES)


async def answer_unframed(exchange: RawExchange, body: str, reset: bool = False) -> None:
    """Answer without a length, and end the connection."""
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {exchange.request_id}\r\nResponse-Seal: seal\r\n\r\n"
    await exchange.send(head, body)
    if reset:
        # Lets the gateway read what was sent, since a reset discards it.
        await trio.sleep(0.3)
        reset_on_close(exchange.stream)
    await exchange.stream.aclose()


def answer_with(body: str, reset: bool = False):
    """Return a script that answers every request without a length."""

    async def script(exchange: RawExchange) -> None:
        await answer_unframed(exchange, body, reset)

    return script


async def read_response(harness: GatewayHarness, path: str) -> tuple[bytes, bytes, bool]:
    """Send a request and return the head and the body as sent, and whether the end was a reset."""
    stream = await trio.open_tcp_stream(*split_address(harness.address))
    lines = [
        f"GET {path} HTTP/1.1",
        "Host: h.example",
        "Request-Id: id-1",
        "Deadline-Ms: 20000",
        "Authorization: Token key-1",
    ]
    received, was_reset = b"", False
    async with stream:
        await stream.send_all("\r\n".join((*lines, "", "")).encode())
        with trio.move_on_after(WAIT_S / 20):
            try:
                while data := await stream.receive_some(65_536):
                    received += data
            except trio.BrokenResourceError:
                was_reset = True
    head, _, body = received.partition(b"\r\n\r\n")
    return head, body, was_reset


class TestUnframedResponses:
    """The caller is told of the end of a response only what the target's bytes prove."""

    # Guards against issue 31: a short body that reached the caller with a length that calls it
    # whole, although the target had stated no length.
    async def test_no_length_is_stated_that_the_target_did_not_state(self, nursery):
        """Guards against calling a body whole that may have been cut."""
        script = answer_with(SMALL_BODY)
        harness = await start_raw_harness(nursery, script, script)
        for path in ("/a/x", "/b/x"):
            head, body, was_reset = await read_response(harness, path)
            assert head.startswith(b"HTTP/1.1 200 ")
            assert b"response-seal: seal" in head.lower()
            assert b"content-length" not in head.lower()
            assert b"transfer-encoding" not in head.lower()
            assert b"connection: close" in head.lower()
            assert (body, was_reset) == (SMALL_BODY.encode(), False)

    async def test_large_body_ends_with_the_connection(self, nursery):
        """Guards against a streamed body that gets an end of its own."""
        harness = await start_raw_harness(nursery, answer_with(LARGE_BODY))
        head, body, was_reset = await read_response(harness, "/b/x")
        assert b"transfer-encoding" not in head.lower()
        assert (body, was_reset) == (LARGE_BODY.encode(), False)

    async def test_reset_of_the_target_resets_the_caller(self, nursery):
        """Guards against a clean end of a body whose connection was reset, which looks whole."""
        harness = await start_raw_harness(nursery, answer_with(LARGE_BODY, reset=True))
        head, _, was_reset = await read_response(harness, "/b/x")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert was_reset

    async def test_body_above_the_limit_ends_with_a_reset(self, nursery):
        """Guards against a body that is cut at the limit and looks whole."""

        async def answer_endlessly(exchange: RawExchange) -> None:
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {exchange.request_id}\r\nResponse-Seal: seal"
            await exchange.send_without_end(f"{head}\r\n\r\n", "x" * 16_384)

        harness = await start_raw_harness(nursery, answer_endlessly)
        harness.node.handler.forwarder.max_response_bytes = len(LARGE_BODY)
        head, _, was_reset = await read_response(harness, "/b/x")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert was_reset

    async def test_reset_before_anything_was_passed_on_is_a_failure(self, nursery):
        """Guards against taking the beginning of a small body for all of it."""
        harness = await start_raw_harness(nursery, answer_with(SMALL_BODY, reset=True))
        head, _, _ = await read_response(harness, "/b/x")
        assert head.startswith(b"HTTP/1.1 502 ")
