"""Tests of copies of answers whose request is under way again, so that its ID tells nothing."""

from contextlib import suppress

import pytest
import trio
from attrs import define, field
from support.gateway import server_fields
from support.gateway_harness import WAIT_S, GatewayHarness, start_raw_harness
from support.raw_target import RawExchange

from wagtailbay.transport import Response

NOT_RUN = "Not-Executed: 1"
NOT_RUN_STATUSES = ["503 Busy", "429 Busy", "421 Misdirected"]
COPY_LEAD_S = 0.05


@define
class RepeatingTarget:
    """Target that writes its first answer to a request once more when the request comes back.

    The copy goes to the connection of the first answer, some time before the second answer.

    Attributes:
        first_status: Status of the answer to a request that has not come before.
        first_headers: Headers of that answer.
        refused_name: Only requests for the target of this name get the first status; empty for all.
        first_exchanges: The first exchange of each request, by ID.
        returned: IDs of the requests that came back.
    """

    first_status: str
    first_headers: tuple[str, ...] = ()
    refused_name: str = ""
    first_exchanges: dict[str, RawExchange] = field(factory=dict)
    returned: list[str] = field(factory=list)

    async def __call__(self, exchange: RawExchange) -> None:
        """Answer a request."""
        first = self.first_exchanges.get(exchange.request_id)
        if first is not None:
            self.returned.append(exchange.request_id)
            await self._repeat_answer(first)
            await trio.sleep(COPY_LEAD_S)
        elif f"Expect-Instance: {self.refused_name}" in exchange.head:
            self.first_exchanges[exchange.request_id] = exchange
            await exchange.answer("first", *self.first_headers, status=self.first_status)
            return
        await exchange.answer(f"second {exchange.request_id}")

    async def _repeat_answer(self, first: RawExchange) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await first.answer("first", *self.first_headers, status=self.first_status)


async def send_until_returned(
    harness: GatewayHarness, target: RepeatingTarget, path: str, request_id: str
) -> Response:
    """Send a request with the same ID again until it has come back to the target."""
    with trio.fail_after(WAIT_S):
        while True:
            response = await harness.send_request(path, Request_Id=request_id)
            if target.returned:
                return response
            await trio.sleep(0.01)


class TestCopiesOfRefusals:
    """A copy of a refusal is no answer to the same request when it is sent once more."""

    # Guards against issue 34: a 421 to the first try, taken for the answer to the second one.
    async def test_address_with_two_registrations(self, nursery):
        """Guards against refusing a deposit with a promise although its second try ran."""
        target = RepeatingTarget("421 Misdirected", (NOT_RUN,), refused_name="old")
        harness = await start_raw_harness(nursery, target)
        entry = harness.node.registry.targets["t1"].entry
        harness.api.put_fields("servers", "old", server_fields(entry.address))
        with trio.fail_after(WAIT_S):
            while len(harness.node.registry.targets) < 2:
                await trio.sleep(0.02)
        for number in range(60):
            request_id = f"id-{number}"
            response = await harness.send_request("/b/x", Request_Id=request_id)
            expected = 503 if request_id in target.first_exchanges else 200
            if request_id in target.returned:
                expected = 200
            assert (request_id, response.status) == (request_id, expected)
        assert len(target.returned) > 0

    @pytest.mark.parametrize("status", NOT_RUN_STATUSES)
    async def test_caller_that_uses_an_id_again(self, nursery, status):
        """Guards against refusing a deposit that runs, whose ID was refused before."""
        target = RepeatingTarget(status, (NOT_RUN,))
        harness = await start_raw_harness(nursery, target)
        response = await send_until_returned(harness, target, "/b/x", "id-1")
        assert (response.status, response.body) == (200, b"second id-1")
        assert target.returned == ["id-1"]

    async def test_ids_that_differ_in_case_are_different(self, nursery):
        """Guards against a copy of the refusal of "id-a" that refuses "ID-A"."""
        copies: list[RawExchange] = []

        async def refuse_lower_case(exchange: RawExchange) -> None:
            if exchange.request_id.islower():
                await exchange.answer("no", NOT_RUN, status="503 Busy")
                copies.append(exchange)
                return
            for copy in copies:
                with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                    await copy.answer("no", NOT_RUN, status="503 Busy")
            await trio.sleep(COPY_LEAD_S)
            await exchange.answer("ran")

        harness = await start_raw_harness(nursery, refuse_lower_case)
        assert (await harness.send_request("/b/x", Request_Id="id-a")).status == 503
        with trio.fail_after(WAIT_S):
            while (response := await harness.send_request("/b/x", Request_Id="ID-A")).status == 503:
                assert response.body != b"no"
                await trio.sleep(0.01)
        assert (response.status, response.body) == (200, b"ran")


class TestCopiesOfAnswers:
    """A copy of an answer is no answer to the same request when it is sent once more."""

    # Guards against issue 34: the answer to an earlier request with the same ID.
    @pytest.mark.parametrize("path", ["/a/x", "/b/x"])
    @pytest.mark.parametrize("status", ["200 OK", "500 Error"])
    async def test_earlier_answer_with_the_same_id(self, nursery, path, status):
        """Guards against a caller that gets the old answer while the target gives another."""
        target = RepeatingTarget(status)
        harness = await start_raw_harness(nursery, target)
        response = await send_until_returned(harness, target, path, "id-1")
        assert (response.status, response.body) == (200, b"second id-1")
