"""Tests of HEAD requests, whose responses state the length of a body that is not sent."""

from support.gateway_harness import get_header, start_raw_harness
from support.raw_target import RawExchange


class TestHeadRequests:
    """A response to HEAD states what its target stated."""

    # Guards against issue 31: a length that no target has stated.
    async def test_length_of_the_target_is_passed_on(self, nursery):
        """Guards against telling callers that an object is empty."""

        async def answer_head(exchange: RawExchange) -> None:
            await exchange.send(
                f"HTTP/1.1 200 OK\r\nRequest-Id: {exchange.request_id}\r\n"
                "Response-Seal: seal\r\nContent-Length: 5\r\n\r\n"
            )

        harness = await start_raw_harness(nursery, answer_head)
        for path in ("/a/x", "/b/x"):
            response = await harness.send_request(path, method="HEAD")
            assert (response.status, response.body) == (200, b"")
            assert get_header(response, "Content-Length") == "5"
