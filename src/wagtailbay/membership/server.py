"""gRPC server that handles peers' calls in the trio thread."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import grpc
import trio
from attrs import define, field, frozen
from result import Err, Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.membership.client import COMPRESSION, bracket_ipv6
from wagtailbay.membership.codec import FactCodec
from wagtailbay.membership.const import (
    BORROW_METHOD,
    EXCHANGE_METHOD,
    KNOWN_INCARNATION_KEY,
    MAX_CONCURRENT_CALLS,
    MAX_MESSAGE_BYTES,
    SERVER_THREADS,
    SERVICE_NAME,
    TOKENS_METHOD,
)
from wagtailbay.membership.credentials import CertificateSource, server_credentials
from wagtailbay.membership.exchange import Exchanger
from wagtailbay.membership.loans import LoanGrant, LoanRequest
from wagtailbay.membership.token_wire import decode_token_requests, encode_token_grants
from wagtailbay.membership.tokens import TokenGrants, TokenRequests
from wagtailbay.membership.wire import (
    decode_exchange,
    decode_loan_request,
    encode_exchange,
    encode_loan_grant,
)

Lender = Callable[[LoanRequest, float], LoanGrant]
TokenGranter = Callable[[TokenRequests, float], TokenGrants]

SERVER_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # A fixed window that fits a whole message; bandwidth probes would follow every call.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", MAX_MESSAGE_BYTES),
    # Two processes must not share an address, since each would receive only some of the calls.
    ("grpc.so_reuseport", 0),
)


@frozen
class Refusal:
    """Status with which a call is refused.

    Attributes:
        known_incarnation: Newest known run of the caller, if it is refused as an older one; else 0.
    """

    code: grpc.StatusCode
    reason: str
    known_incarnation: int = 0


Answer = Result[bytes, Refusal]


def refuse_loan(request: LoanRequest, now_s: float) -> LoanGrant:
    """Refuse a loan request."""
    return LoanGrant(0, 0.0)


def _abort(context: grpc.ServicerContext, refusal: Refusal) -> None:
    """End a call with a refusal; raises an exception that gRPC handles."""
    if refusal.known_incarnation:
        metadata = ((KNOWN_INCARNATION_KEY, str(refusal.known_incarnation)),)
        context.set_trailing_metadata(metadata)
    context.abort(refusal.code, refusal.reason)


@define
class PeerServer:
    """Answers peers' calls.

    Attributes:
        source: Source of the certificates; None serves without TLS, on loopback only.
        lender: Decides on loan requests, in the trio thread.
        token_granter: Grants tokens to another VM, in the trio thread; None at VMs that own no
            rates, which do not have the method.
    """

    exchanger: Exchanger
    codec: FactCodec
    clock: Callable[[], float]
    source: CertificateSource | None
    lender: Lender = refuse_loan
    token_granter: TokenGranter | None = None
    _trio_token: Any = field(default=None, init=False)

    async def serve(self, address: str, *, task_status: Any) -> None:
        """Serve until cancelled.

        Raises:
            OSError: The server cannot listen on the address.
        """
        self._trio_token = trio.lowlevel.current_trio_token()
        pool = ThreadPoolExecutor(SERVER_THREADS, thread_name_prefix="peer-server")
        server = grpc.server(
            pool,
            options=SERVER_OPTIONS,
            maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS,
            compression=COMPRESSION,
        )
        server.add_generic_rpc_handlers((self._handlers(),))
        try:
            self._bind(server, address)
            server.start()
            task_status.started()
            await trio.sleep_forever()
        finally:
            server.stop(grace=None)
            pool.shutdown(wait=False, cancel_futures=True)

    def _bind(self, server: grpc.Server, address: str) -> None:
        target = bracket_ipv6(address)
        try:
            if self.source is None:
                server.add_insecure_port(target)
            else:
                server.add_secure_port(target, server_credentials(self.source))
        except RuntimeError as error:
            raise OSError(f"cannot listen for peers on {address}: {error}") from error

    def _handlers(self) -> grpc.GenericRpcHandler:
        handlers = {EXCHANGE_METHOD: self.handle_exchange, BORROW_METHOD: self.handle_loan}
        if self.token_granter is not None:
            handlers[TOKENS_METHOD] = self.handle_tokens
        return grpc.method_handlers_generic_handler(
            SERVICE_NAME,
            {
                name: grpc.unary_unary_rpc_method_handler(
                    self._run_in_trio(handler, name == EXCHANGE_METHOD)
                )
                for name, handler in handlers.items()
            },
        )

    def _run_in_trio(
        self, handler: Callable[[bytes], Answer], compresses: bool
    ) -> Callable[[bytes, grpc.ServicerContext], bytes]:
        """Return a gRPC handler that runs the given handler in the trio thread."""

        def handle(data: bytes, context: grpc.ServicerContext) -> bytes:
            try:
                answer = trio.from_thread.run_sync(handler, data, trio_token=self._trio_token)
            except trio.RunFinishedError:
                answer = Err(Refusal(grpc.StatusCode.UNAVAILABLE, "the VM is ending"))
            if isinstance(answer, Err):
                _abort(context, answer.err_value)
            if not compresses:
                context.set_compression(grpc.Compression.NoCompression)
            return answer.ok_value

        return handle

    def handle_exchange(self, data: bytes) -> Answer:
        """Apply a peer's exchange message and return this VM's answer."""
        now_s = self.clock()
        match decode_exchange(data, self.codec, now_s):
            case Err(reason):
                log_event("peer_message_malformed", reason=reason[:200], body_bytes=len(data))
                return Err(Refusal(grpc.StatusCode.INVALID_ARGUMENT, reason))
            case Ok(message):
                vm = message.sender.identity.vm
                applied = self.exchanger.apply_message(message, now_s)
        if isinstance(applied, Err):
            log_event("peer_message_dropped", peer=vm, reason=applied.err_value)
            newer = self.exchanger.roster.newer_incarnation(message.sender.identity)
            return Err(Refusal(grpc.StatusCode.FAILED_PRECONDITION, applied.err_value, newer))
        return Ok(
            encode_exchange(
                self.exchanger.build_message(vm, now_s, is_answer=True), self.codec, now_s
            )
        )

    def handle_loan(self, data: bytes) -> Answer:
        """Answer a loan request, which is rejected unless the borrower's incarnation is known."""
        match decode_loan_request(data):
            case Err(reason):
                log_event("peer_message_malformed", reason=reason[:200], body_bytes=len(data))
                return Err(Refusal(grpc.StatusCode.INVALID_ARGUMENT, reason))
            case Ok(request):
                answer = self._check_run(request.borrower, request.incarnation)
                return answer.map(lambda _: encode_loan_grant(self.lender(request, self.clock())))

    def handle_tokens(self, data: bytes) -> Answer:
        """Answer token requests, which are rejected unless the borrower's run is known."""
        match decode_token_requests(data):
            case Err(reason):
                log_event("peer_message_malformed", reason=reason[:200], body_bytes=len(data))
                return Err(Refusal(grpc.StatusCode.INVALID_ARGUMENT, reason))
            case Ok(requests):
                answer = self._check_run(requests.borrower, requests.incarnation)
                return answer.map(
                    lambda _: encode_token_grants(self.token_granter(requests, self.clock()))
                )

    def _check_run(self, vm: str, incarnation: int) -> Result[None, Refusal]:
        member = self.exchanger.roster.members.get(vm)
        if member is None or member.identity.incarnation != incarnation:
            reason = f"{vm} is not a known run"
            return Err(Refusal(grpc.StatusCode.FAILED_PRECONDITION, reason))
        return Ok(None)
