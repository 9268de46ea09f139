"""Test calls for tokens between two VMs over gRPC connections on loopback."""

import threading

import grpc
import pytest
import trio
from membership.factories import CODEC, exchanger
from membership.served_peers import running_server, serve_loans, serve_methods
from result import Ok, Result

from wagtailbay.clock import boottime_s
from wagtailbay.membership import (
    LoanGrant,
    LoanRequest,
    PeerClient,
    PeerError,
    PeerFailure,
    PeerLoop,
    TokenDemand,
    TokenGrant,
    TokenGrants,
    TokenRequests,
)
from wagtailbay.membership.const import BORROW_METHOD, MAX_TOKEN_DEMANDS, MAX_TOKENS_REQUESTED
from wagtailbay.membership.token_wire import (
    decode_token_grants,
    decode_token_requests,
    encode_token_grants,
    encode_token_requests,
)
from wagtailbay.quota import TokenCaller
from wagtailbay.quota.const import BUDGET_PREFIX

REQUESTS = TokenRequests(
    "a", 1, (TokenDemand("unam", 3, spare=2, held=1, waiting=1), TokenDemand("school", 5))
)
GRANTS = TokenGrants((TokenGrant(3, 0, spare=2), TokenGrant(0, 250, is_owner=False)))
LOAN = LoanRequest("a", 1, "workspace:records/unam", 10_000, 2_000)


class TestCallsWithoutThreads:
    """A call for tokens holds no thread while it waits for its answer."""

    async def test_many_calls_wait_at_the_same_time(self) -> None:
        """Guards against calls that queue for a thread until their time is over."""
        with serve_loans([0.5] * 20) as address:
            client = PeerClient(lambda vm: address, None)
            grants: list[Result[LoanGrant, PeerError]] = []

            async def borrow() -> None:
                grants.append(await client.borrow("b", LOAN, 5_000))

            started_s, threads = trio.current_time(), threading.active_count()
            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(borrow)
                await trio.sleep(0.3)
                # One thread of the channel, and the 20 of the server in this process.
                assert threading.active_count() <= threads + 21
            client.close_all()
        assert [grant.is_ok() for grant in grants] == [True] * 20
        assert trio.current_time() - started_s < 1.5

    async def test_call_is_cancelled_with_its_task(self) -> None:
        """Guards against a call that goes on after its request has ended, and holds up the end."""
        cancelled = threading.Event()

        def lend(_data: bytes, context: grpc.ServicerContext) -> bytes:
            context.add_callback(cancelled.set)
            cancelled.wait(5)
            return b""

        methods = {BORROW_METHOD: grpc.unary_unary_rpc_method_handler(lend)}
        with serve_methods(methods, threads=1) as address:
            client = PeerClient(lambda vm: address, None)
            with trio.move_on_after(0.3):
                await client.borrow("b", LOAN, 10_000)
            assert await trio.to_thread.run_sync(cancelled.wait, 2)
            client.close_all()

    async def test_closed_channel_ends_a_call(self) -> None:
        """Guards against a request that waits for an answer through a closed channel."""
        with serve_loans([1.0]) as address:
            client = PeerClient(lambda vm: address, None)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._close_soon, client)
                answer = await client.borrow("b", LOAN, 10_000)
        assert answer.err_value.kind is PeerFailure.UNREACHABLE

    @staticmethod
    async def _close_soon(client: PeerClient) -> None:
        await trio.sleep(0.2)
        client.close_all()


class TestTokenRequests:
    """One call requests the tokens of several workspaces."""

    @staticmethod
    async def introduce(address: str) -> PeerClient:
        """Return a client of VM a, which VM b knows then."""
        client = PeerClient(lambda vm: address, None)
        await PeerLoop("b", exchanger("a"), client, CODEC, boottime_s).exchange()
        return client

    async def test_owner_answers_all_demands_of_a_call(self) -> None:
        """Guards against fields that are lost on the wire, and against grants to unknown runs."""
        received: list[TokenRequests] = []

        def grant(requests: TokenRequests, now_s: float) -> TokenGrants:
            received.append(requests)
            return GRANTS

        async with running_server(token_granter=grant) as (_, address):
            unknown = PeerClient(lambda vm: address, None)
            refused = await unknown.request_tokens("b", REQUESTS, 1_000)
            assert refused.err_value.kind is PeerFailure.REFUSED
            unknown.close_all()
            client = await self.introduce(address)
            assert await client.request_tokens("b", REQUESTS, 1_000) == Ok(GRANTS)
            client.close_all()
        assert received == [REQUESTS]

    async def test_peer_without_the_method_is_asked_for_loans(self) -> None:
        """Guards against refusals while VMs of two releases run together."""
        loans: list[LoanRequest] = []

        def lend(request: LoanRequest, now_s: float) -> LoanGrant:
            loans.append(request)
            return LoanGrant(1, float(request.tokens), wait_ms=0)

        async with running_server(lender=lend) as (_, address):
            client = await self.introduce(address)
            caller = TokenCaller(client, boottime_s)
            for _ in range(2):
                answer = await caller.request("b", REQUESTS, 1_000)
                assert [grant.tokens for grant in answer.unwrap().grants] == [3, 5]
                assert not answer.unwrap().is_tracked
            # A peer that has the other methods keeps its channel.
            assert client.channels["b"].consecutive_failures == 0
            client.close_all()
        assert {loan.budget for loan in loans} == {BUDGET_PREFIX + "unam", BUDGET_PREFIX + "school"}

    @pytest.mark.parametrize(
        "demands",
        [
            (TokenDemand("", 1),),
            (TokenDemand("unam", 1), TokenDemand("unam", 1)),
            tuple(TokenDemand(f"w{n}", 1) for n in range(MAX_TOKEN_DEMANDS + 1)),
        ],
        ids=["nameless", "twice", "many"],
    )
    def test_malformed_requests_are_rejected(self, demands: tuple[TokenDemand, ...]) -> None:
        """Guards against a demand that counts twice and against messages without a bound."""
        data = encode_token_requests(TokenRequests("a", 1, demands))
        assert decode_token_requests(data).is_err()

    def test_number_of_demands_is_checked_first(self) -> None:
        """Guards against building a set of the names of a call that is far too large."""
        demands = (TokenDemand("a", 1),) * (MAX_TOKEN_DEMANDS + 1)
        data = encode_token_requests(TokenRequests("vm-0", 1, demands))
        assert "more than" in decode_token_requests(data).err_value

    @pytest.mark.parametrize(
        "grants",
        [(), (TokenGrant(4, 0), TokenGrant(0, 0)), (TokenGrant(3, 0, spare=3), TokenGrant(0, 0))],
        ids=["few", "tokens", "spare"],
    )
    def test_grants_beyond_the_demand_are_rejected(self, grants: tuple[TokenGrant, ...]) -> None:
        """Guards against a peer whose answer admits more than was requested."""
        data = encode_token_grants(TokenGrants(grants))
        assert decode_token_grants(data, REQUESTS).is_err()

    def test_large_numbers_are_bounded(self) -> None:
        """Guards against a demand that empties a bucket for a long time."""
        demand = TokenDemand("unam", 2**40, 2**40, 2**40, 2**40)
        data = encode_token_requests(TokenRequests("a", 1, (demand,)))
        (decoded,) = decode_token_requests(data).unwrap().demands
        assert decoded == TokenDemand("unam", *(4 * [MAX_TOKENS_REQUESTED]))
