"""Requests that a caller sends ahead on a connection, run while earlier ones are served."""

import re
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Protocol

import h11
import trio
from attrs import define, field

from wagtailbay.invariants import BrokenInvariantError
from wagtailbay.logs import log_event
from wagtailbay.transport.body_budget import BodyBudget
from wagtailbay.transport.connection_reader import ConnectionReader
from wagtailbay.transport.const import (
    MAX_HEADER_BYTES,
    MAX_PIPELINED_PER_CONNECTION,
    MAX_PIPELINED_REQUESTS,
)
from wagtailbay.transport.held_reply import HeldReply
from wagtailbay.transport.models import Request
from wagtailbay.transport.receive import parse_bodiless_request
from wagtailbay.transport.wire import build_server_protocol

REPEATABLE_METHODS = ("GET", "HEAD")
# h11 also accepts lines that end without a carriage return.
END_OF_HEAD_PATTERN = re.compile(rb"\n\r?\n")


class RunAheadPolicy(Protocol):
    """Decides which requests may run while earlier ones on their connection are served."""

    def may_run_ahead(self, request: Request) -> bool:
        """Return whether a GET or HEAD request without a body may run at the same time as others.

        Its response may be discarded unsent; the caller then sends the request again.
        """


@define
class RunAhead:
    """Limit of the requests that run ahead on all connections of a server.

    Attributes:
        record: Called for each request that runs ahead (``started``), and each time that the limit
            kept one from it (``limited``).
        running: Requests that run ahead now, or whose responses are held.
    """

    policy: RunAheadPolicy
    record: Callable[[str], None] = lambda outcome: None
    max_requests: int = MAX_PIPELINED_REQUESTS
    running: int = 0

    def allows(self, request: Request) -> bool:
        """Return whether a request may run at the same time as others on its connection."""
        repeatable = request.method in REPEATABLE_METHODS and not request.body
        return repeatable and self.policy.may_run_ahead(request)


@define(eq=False)
class PipelinedRequest:
    """Request that runs ahead.

    Attributes:
        scope: Cancelled if the connection ends before the request's turn.
        done: Set when its handler has ended.
        error: Why the connection must end in the request's turn, None if it need not.
    """

    request: Request
    reply: HeldReply
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    done: trio.Event = field(factory=trio.Event)
    error: Exception | None = None


@define(eq=False)
class Pipeline:
    """Requests that run ahead on one connection, in the order of their responses.

    Each request that runs ahead has an h11 connection of its own, since one parses a request only
    after the response to the one before. A request that may not run ahead, is malformed or has not
    arrived whole is left to the connection's task, which receives it after all earlier responses.

    Attributes:
        is_draining: Returns whether the server is stopping; nothing is started ahead then.
        run: Runs the handler of a request and sets ``done``.
        first: Request that the connection's task serves, and its protocol.
        waiting: Requests that run ahead and whose turn has not come.
        current: Request that ran ahead and whose response is being sent.
        unparsed: Bytes behind the last request; None as long as ``first``'s protocol has them.
        blocked: Whether the next request must wait until all before it are answered.
        stopped: Whether no further response will be sent.
    """

    reader: ConnectionReader
    nursery: trio.Nursery
    run_ahead: RunAhead
    body_budget: BodyBudget
    is_draining: Callable[[], bool]
    run: Callable[[PipelinedRequest], Awaitable[None]]
    first: tuple[Request, h11.Connection] | None = None
    waiting: deque[PipelinedRequest] = field(factory=deque)
    current: PipelinedRequest | None = None
    unparsed: bytes | None = None
    blocked: bool = False
    stopped: bool = False

    def begin(self, request: Request, protocol: h11.Connection) -> None:
        """Start the requests behind the one that the connection's task is about to serve."""
        self.first = (request, protocol)
        self.reader.on_data = self.start_arrived
        if self.reader.buffer or protocol.trailing_data[0]:
            self.start_arrived()

    def start_arrived(self) -> None:
        """Start the requests that have arrived, in order, as far as the limits allow."""
        while not (
            self.blocked
            or self.is_draining()
            or len(self.waiting) + 1 >= MAX_PIPELINED_PER_CONNECTION
        ):
            pipelined = self._parse_next() if self._has_next_head() else None
            if pipelined is None:
                return
            self.run_ahead.running += 1
            self.run_ahead.record("started")
            self.waiting.append(pipelined)
            self.nursery.start_soon(self.run, pipelined)

    def _has_next_head(self) -> bool:
        """Take over received bytes; return whether they hold a head that may be parsed now."""
        if self.unparsed is None:
            request, protocol = self.first
            if protocol.their_state is not h11.DONE or not self.run_ahead.allows(request):
                self.blocked = True
                return False
            self.unparsed = protocol.trailing_data[0]
        if len(self.unparsed) < MAX_HEADER_BYTES:
            self.unparsed += self.reader.take_buffered()
        if END_OF_HEAD_PATTERN.search(self.unparsed) is None:
            return False
        if self.run_ahead.running >= self.run_ahead.max_requests:
            self.run_ahead.record("limited")
            return False
        return True

    def _parse_next(self) -> PipelinedRequest | None:
        protocol = build_server_protocol()
        protocol.receive_data(self.unparsed)
        request = parse_bodiless_request(protocol)
        if request is None or not self.run_ahead.allows(request):
            self.blocked = True
            return None
        self.unparsed = protocol.trailing_data[0]
        # Nothing behind a request with ``Connection: close`` is read.
        self.blocked = protocol.their_state is not h11.DONE
        reply = HeldReply(
            self.reader.stream,
            protocol,
            self.closes_after_response,
            request.method == "HEAD",
            on_finish=self.end_request,
            body_budget=self.body_budget,
        )
        return PipelinedRequest(request, reply)

    def closes_after_response(self) -> bool:
        """Return whether the connection must close after the response whose turn it is."""
        return self.is_draining() and not self.waiting

    def end_request(self) -> None:
        """Note that a response is sent; without further ones a disconnect cancels nothing."""
        if not self.waiting:
            self.reader.end_request()

    def take_next(self) -> PipelinedRequest:
        """Return the request whose turn has come."""
        self.end_current()
        self.current = self.waiting.popleft()
        self.reader.begin_request()
        self.start_arrived()
        return self.current

    def end_current(self) -> None:
        """Give back what the request whose turn it was has held."""
        if self.current is not None:
            self.run_ahead.running -= 1
            self.current.reply.discard()
            self.current = None

    def next_protocol(self, protocol: h11.Connection) -> h11.Connection:
        """Return the protocol with which the connection's task receives the next request."""
        self.end_current()
        self.reader.on_data = None
        self.blocked = False
        if self.unparsed is None:
            protocol.start_next_cycle()
            return protocol
        unparsed, self.unparsed = self.unparsed, None
        protocol = build_server_protocol()
        if unparsed:
            protocol.receive_data(unparsed)
        return protocol

    def has_unread(self) -> bool:
        """Return whether the caller has sent more than was served."""
        return bool(self.waiting or self.unparsed or self.reader.buffer)

    def stop(self) -> None:
        """End the requests whose turn will not come; the caller sends them again."""
        self.reader.on_data = None
        self.blocked = self.stopped = True
        self.reader.end_request()
        if self.waiting:
            log_event("pipelined_requests_dropped", count=len(self.waiting))
        for pipelined in self.waiting:
            pipelined.scope.cancel()

    def close(self) -> int:
        """Give back what is held once all handlers have ended; return the undelivered responses.

        Raises:
            BrokenInvariantError: A handler whose turn did not come raised it.
        """
        unsent = [p.reply for p in (self.current, *self.waiting) if p is not None]
        undelivered = len([r for r in unsent if r.held_end and not r.finished])
        self.end_current()
        broken = [p.error for p in self.waiting if isinstance(p.error, BrokenInvariantError)]
        while self.waiting:
            self.waiting.popleft().reply.discard()
            self.run_ahead.running -= 1
        for error in broken:
            raise error
        return undelivered
