"""Peers that serve gRPC calls on loopback, in this process."""

import time
from collections.abc import AsyncIterator, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import asynccontextmanager, contextmanager

import grpc
import trio
from membership.factories import CODEC, exchanger

from wagtailbay.clock import boottime_s
from wagtailbay.membership import Exchanger, PeerServer
from wagtailbay.membership.const import BORROW_METHOD, SERVICE_NAME
from wagtailbay.membership.credentials import CertificateSource
from wagtailbay.membership.loans import LoanGrant
from wagtailbay.membership.wire import decode_loan_request, encode_loan_grant
from wagtailbay_bench.processes import free_address


@asynccontextmanager
async def running_server(
    source: CertificateSource | None = None, **server_options: object
) -> AsyncIterator[tuple[Exchanger, str]]:
    """Run the server of VM b and yield its exchanger and address."""
    address, callee = free_address("127.0.0.9"), exchanger("b")
    server = PeerServer(callee, CODEC, boottime_s, source, **server_options)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, address)
        yield callee, address
        nursery.cancel_scope.cancel()


@contextmanager
def serve_loans(delays_s: Sequence[float]) -> Iterator[str]:
    """Serve loans, each after the next delay and of the requested share; yield the address."""
    remaining_s = iter(delays_s)

    def lend(data: bytes, _context: grpc.ServicerContext) -> bytes:
        request = decode_loan_request(data).unwrap()
        time.sleep(next(remaining_s))
        return encode_loan_grant(LoanGrant(request.share_ppm, 0.0))

    methods = {BORROW_METHOD: grpc.unary_unary_rpc_method_handler(lend)}
    with serve_methods(methods, len(delays_s)) as address:
        yield address


@contextmanager
def serve_methods(methods: dict[str, grpc.RpcMethodHandler], threads: int) -> Iterator[str]:
    """Serve methods of a peer; yield the address."""
    server = grpc.server(ThreadPoolExecutor(threads))
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE_NAME, methods),))
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    yield f"127.0.0.1:{port}"
    server.stop(None)
