"""Tests of what proves that a refused request has not run (issue 28)."""

from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import trio
from eliot import add_destinations, remove_destination
from support.gateway_harness import get_header, start_raw_harness
from support.raw_target import RawExchange

from wagtailbay.clock import boottime_s

PROMISES = ["503 Busy", "429 Busy", "408 Busy", "421 Busy"]
NOT_RUN = "Not-Executed: 1"


async def answer(exchange: RawExchange) -> None:
    """Answer a request with its own ID as the body."""
    await exchange.answer(exchange.request_id)


def answer_with(status: str, *headers: str):
    """Return a script that answers every request with the same status."""

    async def script(exchange: RawExchange) -> None:
        await exchange.answer("no", *headers, status=status)

    return script


@contextmanager
def collect_messages() -> Iterator[list[dict]]:
    """Collect the messages that are logged, and the latest earlier ones."""
    messages: list[dict] = []
    add_destinations(messages.append)
    try:
        yield messages
    finally:
        remove_destination(messages.append)


class TestStatusWithoutProof:
    """A status that promises 'not run' reaches a caller only with proof."""

    @pytest.mark.parametrize("status", PROMISES)
    async def test_unproven_status_of_a_deposit_becomes_502(self, nursery, status):
        """Guards against a caller that repeats a request which a target has run."""
        busy = answer_with(status, "Retry-After: 1")
        harness = await start_raw_harness(nursery, busy, busy)
        response = await harness.send_request("/b/x")
        assert response.status == 502
        assert get_header(response, "Response-Seal") is None
        assert get_header(response, "Retry-After") is None
        assert len(harness.received_requests()) == 1

    @pytest.mark.parametrize("status", PROMISES)
    async def test_proven_refusal_is_sent_to_another_target(self, nursery, status):
        """Guards against failing a request that has not run."""
        refuse = answer_with(status, NOT_RUN)
        harness = await start_raw_harness(nursery, refuse, refuse)
        response = await harness.send_request("/b/x")
        assert response.status == 503
        assert len(harness.received_requests()) == 2

    @pytest.mark.parametrize("status", ["429 Busy", "408 Busy"])
    async def test_status_of_a_read_is_returned_unchanged(self, nursery, status):
        """Guards against replacing the answer of a target where a repetition does no harm."""
        harness = await start_raw_harness(nursery, answer_with(status))
        response = await harness.send_request()
        assert response.status == int(status[:3])
        assert get_header(response, "Response-Seal") == "seal"

    async def test_misdirected_read_is_sent_to_another_target(self, nursery):
        """Guards against failing a read whose target has a new address."""
        misdirected = answer_with("421 Busy")
        harness = await start_raw_harness(nursery, misdirected, misdirected)
        response = await harness.send_request()
        assert len(harness.received_requests()) == 2
        assert response.status == 503


class TestLoggedConnections:
    """The log tells on which connection each response came."""

    # Guards against issue 34: a copy of a refusal read like the refusal of another target.
    async def test_tries_at_two_targets_have_two_connections(self, nursery):
        """Guards against a log that cannot tell two refusals from a refusal and its copy."""
        refuse = answer_with("503 Busy", NOT_RUN)
        harness = await start_raw_harness(nursery, refuse, refuse)
        with collect_messages() as messages:
            assert (await harness.send_request("/b/x")).status == 503
        logged = [message["responses"] for message in messages if "responses" in message][-1]
        evidence = [response.rpartition(":") for response in logged.split(",")]
        assert [text for text, _, _ in evidence] == ["503:not_run:own_id:0"] * 2
        first, second = (int(connection) for _, _, connection in evidence)
        assert first != second


class TestUnsignedSuccesses:
    """A success reaches a caller only with the signature of its target."""

    # Guards against issue 31: a caller that is told of a success that no target has signed.
    @pytest.mark.parametrize("path", ["/a/x", "/b/x"])
    @pytest.mark.parametrize("status", ["200 OK", "204 No Content"])
    async def test_success_without_a_signature_becomes_502(self, nursery, path, status):
        """Guards against passing on bytes that only look like the answer of a target."""

        async def answer_unsigned(exchange: RawExchange) -> None:
            length = "Content-Length: 0\r\n" if status.startswith("200") else ""
            await exchange.send(
                f"HTTP/1.1 {status}\r\nRequest-Id: {exchange.request_id}\r\n{length}\r\n"
            )

        harness = await start_raw_harness(nursery, answer_unsigned, answer_unsigned)
        assert (await harness.send_request(path)).status == 502
        # A read is sent to a second target, a deposit may have run.
        assert len(harness.received_requests()) == (2 if path == "/a/x" else 1)

    async def test_failure_needs_no_signature(self, nursery):
        """Guards against hiding how a target failed."""

        async def fail_unsigned(exchange: RawExchange) -> None:
            await exchange.send("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")

        harness = await start_raw_harness(nursery, fail_unsigned)
        assert (await harness.send_request("/b/x")).status == 500


class TestUnidentifiedResponses:
    """A response that names no request counts only where it cannot belong to another one."""

    async def test_repeated_refusal_without_an_id_is_no_proof(self, nursery):
        """Guards against refusing a deposit that runs, or running it at a second target."""

        async def repeat_refusal(exchange: RawExchange) -> None:
            if exchange.number == 1:
                await answer(exchange)
                return
            # A copy of an earlier refusal arrives while the second request on the connection runs.
            await exchange.send(f"HTTP/1.1 503 Busy\r\n{NOT_RUN}\r\nContent-Length: 0\r\n\r\n")
            await answer(exchange)

        harness = await start_raw_harness(nursery, repeat_refusal, repeat_refusal)
        for number in range(8):
            received_before = len(harness.received_requests())
            response = await harness.send_request("/b/x", Request_Id=f"id-{number}")
            assert response.status in (200, 502)
            assert len(harness.received_requests()) == received_before + 1

    async def test_repeated_answer_without_an_id_is_not_delivered(self, nursery):
        """Guards against giving a caller the answer to another caller's request."""
        previous: list[str] = []

        async def repeat_answer(exchange: RawExchange) -> None:
            if exchange.number > 1:
                await exchange.send(previous[-1])
            head = "HTTP/1.1 200 OK\r\nResponse-Seal: seal\r\nContent-Length: 3"
            previous.append(f"{head}\r\n\r\nold")
            await answer(exchange)

        harness = await start_raw_harness(nursery, repeat_answer, repeat_answer)
        for number in range(8):
            response = await harness.send_request(Request_Id=f"id-{number}")
            assert response.body != b"old"

    async def test_first_response_on_a_connection_needs_no_id(self, nursery):
        """Guards against failing all requests at a target that never echoes the ID."""

        async def answer_without_id(exchange: RawExchange) -> None:
            seal = "Response-Seal: seal"
            await exchange.send(f"HTTP/1.1 200 OK\r\n{seal}\r\nContent-Length: 2\r\n\r\nok")

        harness = await start_raw_harness(nursery, answer_without_id)
        for number in range(4):
            response = await harness.send_request("/b/x", Request_Id=f"id-{number}")
            assert (response.status, response.body) == (200, b"ok")
        exchanges = harness.targets["t1"].exchanges
        assert [exchange.number for exchange in exchanges] == [1] * 4

    async def test_request_without_an_id_is_sent_on_a_new_connection(self, nursery):
        """Guards against taking a late copy for the answer to a request that has no ID."""
        harness = await start_raw_harness(nursery, answer)
        await harness.send_request("/b/x", Request_Id="id-1")
        response = await harness.send_request("/b/x", Request_Id="")
        assert response.status == 200
        exchanges = harness.targets["t1"].exchanges
        assert [exchange.number for exchange in exchanges] == [1, 1]

    async def test_head_of_two_messages_is_no_proof(self, nursery):
        """Guards against a refusal that breaks off and is continued by the next answer."""

        async def answer_after_broken_refusal(exchange: RawExchange) -> None:
            if exchange.number > 1:
                await exchange.send(f"HTTP/1.1 503 Busy\r\n{NOT_RUN}\r\nX-Odd: some")
            await answer(exchange)

        harness = await start_raw_harness(
            nursery, answer_after_broken_refusal, answer_after_broken_refusal
        )
        for number in range(8):
            received_before = len(harness.received_requests())
            response = await harness.send_request("/b/x", Request_Id=f"id-{number}")
            assert response.status in (200, 502)
            assert len(harness.received_requests()) == received_before + 1

    # Guards against issue 31: a read that got the status of one answer with the body of another.
    @pytest.mark.parametrize("beginning", ["HTTP/1.1 200 Sta", "HTTP/1.1 503 Ser", "HTTP/1.1 200 "])
    @pytest.mark.parametrize("status", ["200 OK", "500 Error"])
    @pytest.mark.parametrize("path", ["/a/x", "/b/x"])
    async def test_status_line_of_two_messages_is_no_answer(self, nursery, beginning, status, path):
        """Guards against a status line that breaks off and is continued by the next answer."""

        async def answer_after_broken_status_line(exchange: RawExchange) -> None:
            if exchange.number > 1:
                await exchange.send(beginning)
            await exchange.answer(exchange.request_id, status=status)

        harness = await start_raw_harness(
            nursery, answer_after_broken_status_line, answer_after_broken_status_line
        )
        for number in range(6):
            response = await harness.send_request(path, Request_Id=f"id-{number}")
            assert response.status in (int(status[:3]), 502)
            sealed = get_header(response, "Response-Seal") is not None
            assert sealed is (response.status != 502)

    async def test_informational_response_that_swallows_an_answer_fails_at_once(self, nursery):
        """Guards against waiting until the deadline for an answer that has been read over."""

        async def answer_after_broken_continue(exchange: RawExchange) -> None:
            await exchange.send("HTTP/1.1 100 Con")
            await exchange.answer("")

        harness = await start_raw_harness(nursery, answer_after_broken_continue)
        with collect_messages() as messages, trio.fail_after(10):
            assert (await harness.send_request("/b/x")).status == 502
        # The log says why, although no response was accepted. Eliot also sends earlier messages.
        failures = [message["failures"] for message in messages if "failures" in message]
        assert "beginning of another response" in failures[-1]

    async def test_skipped_response_tells_nothing_about_the_target(self, nursery):
        """Guards against a target that counts as leaving by an answer to another request."""

        async def send_only_other_response(exchange: RawExchange) -> None:
            await exchange.send(
                "HTTP/1.1 503 Busy\r\nRequest-Id: other\r\nServer-Leaving: 1\r\n"
                "Retry-After: 30\r\nContent-Length: 0\r\n\r\n"
            )
            await exchange.stream.aclose()

        harness = await start_raw_harness(nursery, send_only_other_response)
        response = await harness.send_request("/b/x")
        assert response.status == 502
        (target,) = harness.node.registry.targets.values()
        assert not harness.node.registry.is_leaving(target.entry)
        assert not harness.node.selector.load_of(target).is_paused(boottime_s())
