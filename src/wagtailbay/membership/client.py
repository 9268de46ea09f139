"""gRPC client for calls to peers from trio."""

from collections.abc import Callable, Mapping
from contextlib import suppress
from functools import partial

import grpc
import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.membership.const import (
    BORROW_METHOD,
    CERTIFICATE_NAME,
    EXCHANGE_METHOD,
    EXCHANGE_THREADS,
    EXCHANGE_TIMEOUT_MS,
    KNOWN_INCARNATION_KEY,
    MAX_INCARNATION,
    MAX_MESSAGE_BYTES,
    RECONNECT_AFTER_FAILURES,
    SERVICE_NAME,
    TOKENS_METHOD,
)
from wagtailbay.membership.credentials import (
    CertificateSource,
    PeerCertificates,
    channel_credentials,
)
from wagtailbay.membership.loans import LoanGrant, LoanRequest
from wagtailbay.membership.messages import PeerError, PeerFailure
from wagtailbay.membership.token_wire import decode_token_grants, encode_token_requests
from wagtailbay.membership.tokens import TokenGrants, TokenRequests
from wagtailbay.membership.wire import (
    decode_loan_grant,
    encode_loan_request,
)

CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    # A fixed window that fits a whole message; bandwidth probes would follow every call.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", MAX_MESSAGE_BYTES),
    ("grpc.service_config_disable_resolution", 1),
    # A reopened channel must open a new connection rather than share an existing one.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 500),
    ("grpc.max_reconnect_backoff_ms", 1_000),
)

# Objects and facts are JSON with repeated field names. In a small fleet they made up most of the
# traffic between VMs, which is billed between availability zones.
COMPRESSION = grpc.Compression.Gzip


def bracket_ipv6(address: str) -> str:
    """Return ``<ip>:<port>`` with an IPv6 address in brackets, as gRPC requires."""
    host, _, port = address.rpartition(":")
    return f"[{host}]:{port}" if ":" in host else address


def grpc_target(address: str) -> str:
    """Return the gRPC URI of an address, which is used without name resolution."""
    target = bracket_ipv6(address)
    return f"ipv6:{target}" if target.startswith("[") else f"ipv4:{target}"


@define
class PeerChannel:
    """A gRPC channel to one peer's address.

    Attributes:
        certificates: The certificates in use, None without TLS; replacing them requires a new
            channel.
        consecutive_failures: Failed calls since the last successful one.
    """

    vm: str
    address: str
    certificates: PeerCertificates | None
    channel: grpc.Channel = field(init=False)
    consecutive_failures: int = 0

    def __attrs_post_init__(self) -> None:
        """Open the channel; gRPC connects on the first call."""
        self.channel = self._open()

    def _open(self) -> grpc.Channel:
        target = grpc_target(self.address)
        if self.certificates is None:
            return grpc.insecure_channel(target, CHANNEL_OPTIONS, COMPRESSION)
        options = (*CHANNEL_OPTIONS, ("grpc.ssl_target_name_override", CERTIFICATE_NAME))
        credentials = channel_credentials(self.certificates)
        return grpc.secure_channel(target, credentials, options, COMPRESSION)

    def call(self, method: str, data: bytes, timeout_ms: float) -> Result[bytes, PeerError]:
        """Make one call; blocks the calling thread for at most timeout_ms."""
        invoke = self.channel.unary_unary(f"/{SERVICE_NAME}/{method}")
        try:
            return Ok(invoke(data, timeout=timeout_ms / 1000))
        except grpc.RpcError as error:
            return Err(_peer_error(self.vm, error))
        except ValueError as error:  # The channel was closed during the call.
            return Err(PeerError(self.vm, PeerFailure.UNREACHABLE, str(error)))

    def start_call(
        self, method: str, data: bytes, timeout_ms: float
    ) -> Result[grpc.Future, PeerError]:
        """Start one call, which ends after at most timeout_ms and holds no thread meanwhile.

        Token requests and loans are some 100 bytes; compressing them took half of a call's time.
        """
        invoke = self.channel.unary_unary(f"/{SERVICE_NAME}/{method}")
        try:
            compression = grpc.Compression.NoCompression
            return Ok(invoke.future(data, timeout=timeout_ms / 1000, compression=compression))
        except ValueError as error:  # The channel has been closed.
            return Err(PeerError(self.vm, PeerFailure.UNREACHABLE, str(error)))

    def record_outcome(self, succeeded: bool) -> None:
        """Record whether a call succeeded; reopen the channel after several failures in a row."""
        self.consecutive_failures = 0 if succeeded else self.consecutive_failures + 1
        if self.consecutive_failures >= RECONNECT_AFTER_FAILURES:
            self.channel.close()
            self.channel, self.consecutive_failures = self._open(), 0


def _peer_error(vm: str, error: grpc.RpcError) -> PeerError:
    code = error.code() if isinstance(error, grpc.Call) else None
    details = (error.details() if isinstance(error, grpc.Call) else str(error)) or ""
    failures_by_code = {
        grpc.StatusCode.DEADLINE_EXCEEDED: PeerFailure.TIMEOUT,
        grpc.StatusCode.FAILED_PRECONDITION: PeerFailure.REFUSED,
        grpc.StatusCode.INVALID_ARGUMENT: PeerFailure.REFUSED,
        grpc.StatusCode.RESOURCE_EXHAUSTED: PeerFailure.REFUSED,
        grpc.StatusCode.UNIMPLEMENTED: PeerFailure.UNIMPLEMENTED,
    }
    kind = failures_by_code.get(code, PeerFailure.UNREACHABLE)
    return PeerError(vm, kind, details[:300], _known_incarnation(error))


def _call_result(vm: str, call: grpc.Future) -> Result[bytes, PeerError]:
    """Return the result of a call that has ended."""
    try:
        return Ok(call.result())
    except grpc.FutureCancelledError:
        return Err(PeerError(vm, PeerFailure.UNREACHABLE, "the call was cancelled"))
    except grpc.RpcError as error:
        return Err(_peer_error(vm, error))


def _known_incarnation(error: grpc.RpcError) -> int:
    """Return the newest run of this VM that a refusal names, 0 if it names none."""
    metadata = error.trailing_metadata() if isinstance(error, grpc.Call) else None
    text = str(dict(metadata or ()).get(KNOWN_INCARNATION_KEY, ""))
    if not text.isascii() or not text.isdecimal() or len(text) > len(str(MAX_INCARNATION)):
        return 0
    return number if (number := int(text)) <= MAX_INCARNATION else 0


async def _wait_for_end(call: grpc.Future) -> None:
    """Wait until a call has ended."""
    ended, trio_token = trio.Event(), trio.lowlevel.current_trio_token()

    def notify(_: grpc.Future) -> None:
        # gRPC calls this in its own thread, perhaps after trio has ended.
        with suppress(trio.RunFinishedError):
            trio_token.run_sync_soon(ended.set)

    call.add_done_callback(notify)
    await ended.wait()


@define
class PeerClient:
    """Client that calls peers by the name of their VM.

    Attributes:
        resolve_address: Returns a VM's peer address, None if it is unknown.
        source: Source of the certificates; None calls without TLS.
        address_overrides: Addresses to call instead of the VMs' own, by VM.
        channels: The open channels, by VM.
    """

    resolve_address: Callable[[str], str | None]
    source: CertificateSource | None
    address_overrides: Mapping[str, str] = field(factory=dict)
    channels: dict[str, PeerChannel] = field(factory=dict)
    exchange_limiter: trio.CapacityLimiter = field(
        factory=lambda: trio.CapacityLimiter(EXCHANGE_THREADS)
    )

    async def exchange(self, vm: str, data: bytes) -> Result[bytes, PeerError]:
        """Send an encoded exchange message to a peer and return the encoded answer."""
        channel = self._get_channel(vm)
        if isinstance(channel, Err):
            return channel
        call = partial(channel.ok_value.call, EXCHANGE_METHOD, data, EXCHANGE_TIMEOUT_MS)
        answer = await trio.to_thread.run_sync(
            call, abandon_on_cancel=True, limiter=self.exchange_limiter
        )
        self._record_outcome(channel.ok_value, answer)
        return answer

    async def borrow(
        self, vm: str, request: LoanRequest, timeout_ms: int
    ) -> Result[LoanGrant, PeerError]:
        """Request a loan from a peer; after any error but REFUSED it may have been granted."""
        answer = await self._call(vm, BORROW_METHOD, encode_loan_request(request), timeout_ms)
        if isinstance(answer, Err):
            return answer
        return decode_loan_grant(answer.ok_value).map_err(
            lambda reason: PeerError(vm, PeerFailure.MALFORMED, reason)
        )

    async def request_tokens(
        self, vm: str, requests: TokenRequests, timeout_ms: int
    ) -> Result[TokenGrants, PeerError]:
        """Request tokens of several workspaces from the owner of their rates in one call."""
        answer = await self._call(vm, TOKENS_METHOD, encode_token_requests(requests), timeout_ms)
        if isinstance(answer, Err):
            return answer
        return decode_token_grants(answer.ok_value, requests).map_err(
            lambda reason: PeerError(vm, PeerFailure.MALFORMED, reason)
        )

    async def _call(
        self, vm: str, method: str, data: bytes, timeout_ms: int
    ) -> Result[bytes, PeerError]:
        """Make one call without a thread that waits; it is cancelled with the calling task."""
        channel = self._get_channel(vm)
        if isinstance(channel, Err):
            return channel
        started = channel.ok_value.start_call(method, data, timeout_ms)
        if isinstance(started, Err):
            return started
        call = started.ok_value
        try:
            await _wait_for_end(call)
        finally:
            # No effect on a call that has ended.
            call.cancel()
        answer = _call_result(vm, call)
        self._record_outcome(channel.ok_value, answer)
        return answer

    def _record_outcome(self, channel: PeerChannel, answer: Result[bytes, PeerError]) -> None:
        """Record the outcome of a call, unless its channel was replaced meanwhile."""
        if self.channels.get(channel.vm) is channel:
            answered = isinstance(answer, Ok) or answer.err_value.kind in (
                PeerFailure.REFUSED,
                PeerFailure.UNIMPLEMENTED,
            )
            channel.record_outcome(answered)

    def _get_channel(self, vm: str) -> Result[PeerChannel, PeerError]:
        address = self.address_overrides.get(vm) or self.resolve_address(vm)
        if not address:
            return Err(PeerError(vm, PeerFailure.UNKNOWN_VM, "no peer address"))
        certificates = None
        if self.source is not None:
            match self.source.load():
                case Ok(certificates):
                    pass
                case Err(reason):
                    return Err(PeerError(vm, PeerFailure.UNREACHABLE, reason))
        channel = self.channels.get(vm)
        if channel is None or (channel.address, channel.certificates) != (address, certificates):
            self.close(vm)
            channel = self.channels[vm] = PeerChannel(vm, address, certificates)
        return Ok(channel)

    def close(self, vm: str) -> None:
        """Close the channel to a peer, if there is one."""
        channel = self.channels.pop(vm, None)
        if channel is not None:
            channel.channel.close()

    def close_all(self) -> None:
        """Close the channels to all peers."""
        for vm in tuple(self.channels):
            self.close(vm)
