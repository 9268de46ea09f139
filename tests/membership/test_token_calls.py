"""Test calls for tokens between two VMs over gRPC connections on loopback."""

import threading

import grpc
import trio
from membership.served_peers import serve_loans, serve_methods
from result import Result

from wagtailbay.membership import LoanGrant, LoanRequest, PeerClient, PeerError, PeerFailure
from wagtailbay.membership.const import BORROW_METHOD

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
