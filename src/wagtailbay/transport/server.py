"""HTTP/1.1 server that runs a handler task for each connection."""

import traceback
from collections.abc import Awaitable, Callable
from functools import partial
from math import inf
from typing import Any

import h11
import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.invariants import BrokenInvariantError
from wagtailbay.logs import log_event
from wagtailbay.supervision import run_isolated
from wagtailbay.transport.accept import accept_connections, accept_pending, open_listener
from wagtailbay.transport.body_budget import BodyBudget
from wagtailbay.transport.connection_reader import ConnectionReader
from wagtailbay.transport.const import (
    DRAIN_POLL_INTERVAL_S,
    IDLE_CONNECTION_TIMEOUT_S,
    LINGER_TIMEOUT_S,
    MAX_LINGER_BYTES,
    MAX_REQUEST_BODY_BYTES,
    REQUEST_RECEIVE_TIMEOUT_S,
)
from wagtailbay.transport.models import Headers, Request
from wagtailbay.transport.pipeline import Pipeline, PipelinedRequest, RunAhead
from wagtailbay.transport.receive import BadRequest, RequestReceiver
from wagtailbay.transport.reply import CallerDisconnectedError, Reply, send_error
from wagtailbay.transport.wire import build_server_protocol

Handler = Callable[[Request, Reply], Awaitable[None]]


@define
class HttpServer:
    """HTTP server that passes each request to a handler.

    Attributes:
        handler: Called for each request; it must finish the reply. It is cancelled when the
            caller closes the connection.
        max_body_bytes: Maximum size of a request body.
        idle_timeout_s: Time limit for the head of the next request.
        receive_timeout_s: Time limit for the body after the head.
        body_budget: Memory that the bodies of all requests may take together.
        accept_scope: Cancelled to stop accepting connections.
        draining: Set when the server stops; each connection then closes after its current request.
        open_requests: Number of requests being served.
        connections: Number of open connections.
        aborted_requests: Number of requests whose caller closed the connection before the response
            was complete.
        readers: Readers of the open connections.
        run_ahead: Lets requests that a caller sends ahead run while earlier ones are served; None
            to serve each connection's requests one after another.
    """

    handler: Handler
    max_body_bytes: int = MAX_REQUEST_BODY_BYTES
    idle_timeout_s: float = IDLE_CONNECTION_TIMEOUT_S
    receive_timeout_s: float = REQUEST_RECEIVE_TIMEOUT_S
    body_budget: BodyBudget = field(factory=lambda: BodyBudget(inf))
    accept_scope: trio.CancelScope = field(factory=trio.CancelScope)
    draining: trio.Event = field(factory=trio.Event)
    open_requests: int = 0
    connections: int = 0
    aborted_requests: int = 0
    readers: set[ConnectionReader] = field(factory=set)
    run_ahead: RunAhead | None = None

    async def serve(self, address: tuple[str, int], *, task_status: Any) -> None:
        """Listen on an IP address and report the bound (host, port) to the nursery when ready.

        Returns after ``stop_accepting`` once all connections are closed.
        """
        with open_listener(address) as listener:
            async with trio.open_nursery() as nursery:
                task_status.started(listener.getsockname()[:2])
                with self.accept_scope:
                    await accept_connections(listener, self.serve_connection, nursery)
                accept_pending(listener, self.serve_connection, nursery)
                listener.close()

    def stop_accepting(self) -> None:
        """Close the listener; connections that it has already established are served."""
        self.accept_scope.cancel()

    async def drain(self) -> None:
        """Serve the requests that have arrived, and close each connection after its last one.

        To be called once ``draining`` is set and the server has stopped accepting.
        """
        # A connection accepted just now is counted once its task has started.
        await trio.sleep(DRAIN_POLL_INTERVAL_S)
        while self.connections:
            self.close_idle()
            await trio.sleep(DRAIN_POLL_INTERVAL_S)

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve one connection; an unexpected error ends this connection only."""
        await run_isolated(partial(self._serve_connection, stream), "connection")

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve the requests of a connection, whose bytes a separate task receives."""
        errors: list[Exception] = []
        self.connections += 1
        async with trio.open_nursery() as nursery:
            reader = ConnectionReader(stream, nursery.cancel_scope.cancel)
            pipeline = self._build_pipeline(reader, nursery)
            self.readers.add(reader)
            nursery.start_soon(reader.run)
            try:
                await self._serve_requests(reader, pipeline)
            except (
                CallerDisconnectedError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                OSError,
            ):
                pass
            except Exception as error:  # Raised outside the nursery, which would wrap it.
                errors.append(error)
            finally:
                self.readers.discard(reader)
                self.connections -= 1
                nursery.cancel_scope.cancel()
                await trio.aclose_forcefully(stream)
        if pipeline is not None:
            self.aborted_requests += pipeline.close() * reader.aborted
        for error in errors:
            raise error

    def _build_pipeline(self, reader: ConnectionReader, nursery: trio.Nursery) -> Pipeline | None:
        if self.run_ahead is None:
            return None
        run = partial(self._handle_ahead, reader)
        return Pipeline(
            reader, nursery, self.run_ahead, self.body_budget, self.draining.is_set, run
        )

    async def _serve_requests(self, reader: ConnectionReader, pipeline: Pipeline | None) -> None:
        protocol = build_server_protocol()
        receiver = RequestReceiver(
            reader,
            protocol,
            self.max_body_bytes,
            self.body_budget,
            self.idle_timeout_s,
            self.receive_timeout_s,
        )
        try:
            if pipeline is None:
                while await self._serve_request(receiver, None):
                    protocol.start_next_cycle()
            else:
                while await self._serve_pipelined(receiver, pipeline):
                    receiver.protocol = pipeline.next_protocol(receiver.protocol)
                await self._end_pipeline(pipeline)
        except (h11.LocalProtocolError, h11.RemoteProtocolError) as error:
            log_event("connection_failed", reason=str(error))

    async def _serve_pipelined(self, receiver: RequestReceiver, pipeline: Pipeline) -> bool:
        """Serve one request and those that run ahead behind it, with responses in order."""
        reusable = await self._serve_request(receiver, pipeline)
        while reusable and pipeline.waiting:
            pipelined = pipeline.take_next()
            if pipelined.error is None:
                await pipelined.reply.release()
                await pipelined.done.wait()
            if pipelined.error is not None:
                raise pipelined.error
            reusable = await self._is_reusable(pipelined.reply, receiver.reader, pipeline)
        return reusable

    @staticmethod
    async def _end_pipeline(pipeline: Pipeline) -> None:
        """End the requests behind the last response without losing that one by a reset."""
        if pipeline.stopped:
            return
        pipeline.stop()
        if pipeline.has_unread() and not pipeline.reader.closed:
            await lingering_close(pipeline.reader)

    async def _serve_request(self, receiver: RequestReceiver, pipeline: Pipeline | None) -> bool:
        """Serve one request; return whether the connection can carry another."""
        reader, protocol = receiver.reader, receiver.protocol
        closing = self.draining.is_set if pipeline is None else pipeline.closes_after_response
        reply = Reply(reader.stream, protocol, closing)
        try:
            received = await receiver.receive()
            if received is None:
                return False
            match received:
                case Err(bad_request):
                    await self._reject(bad_request, reply, reader)
                    return False
                case Ok(request):
                    reply.bodiless = request.method == "HEAD"
                    await self._handle(request, reply, reader, pipeline)
        finally:
            receiver.release_body()
        return await self._is_reusable(reply, reader, pipeline)

    async def _is_reusable(
        self, reply: Reply, reader: ConnectionReader, pipeline: Pipeline | None
    ) -> bool:
        """Return whether another response can follow; end a connection that ends this one."""
        if reply.finished and reply.until_close:
            if pipeline is not None:
                pipeline.stop()
            await lingering_close(reader)
            return False
        protocol = reply.protocol
        if not reply.finished or protocol.our_state is not h11.DONE:
            return False
        if pipeline is not None and pipeline.waiting:
            return True
        return protocol.their_state is h11.DONE and not self.draining.is_set()

    @staticmethod
    async def _reject(bad_request: BadRequest, reply: Reply, reader: ConnectionReader) -> None:
        """Send the error response to a request that was not passed to the handler."""
        headers: Headers = ()
        if bad_request.retry_after_s is not None:
            headers = (("Retry-After", f"{bad_request.retry_after_s:g}"),)
        await send_error(
            reply, bad_request.status, bad_request.code, bad_request.message, "not_run", headers
        )
        await lingering_close(reader)

    async def _handle(
        self, request: Request, reply: Reply, reader: ConnectionReader, pipeline: Pipeline | None
    ) -> None:
        """Run the handler until it returns or the caller disconnects, which cancels the connection.

        Raises:
            CallerDisconnectedError: The connection must be closed immediately.
        """
        self.open_requests += 1
        # A caller may close once it has the whole response, while the handler still records it.
        reply.on_finish = end_request = pipeline.end_request if pipeline else reader.end_request
        try:
            reader.begin_request()
            if pipeline is not None:
                pipeline.begin(request, reply.protocol)
            await self.handler(request, reply)
        except Exception as error:  # One failed request must not stop other connections.
            has_next = pipeline is not None and bool(pipeline.waiting)
            await self._handle_failure(error, reply, has_next)
            if not has_next:
                await lingering_close(reader)
                raise CallerDisconnectedError from error
        finally:
            self.open_requests -= 1
            self.aborted_requests += reader.aborted
            end_request()

    async def _handle_ahead(self, reader: ConnectionReader, pipelined: PipelinedRequest) -> None:
        """Run the handler of a request that runs ahead, until it returns or is cancelled."""
        self.open_requests += 1
        try:
            with pipelined.scope:
                try:
                    await self.handler(pipelined.request, pipelined.reply)
                except Exception as error:
                    if not pipelined.reply.releasing:
                        pipelined.reply.discard()
                    await self._handle_failure(error, pipelined.reply, True)
        except Exception as error:  # Ends the connection after the earlier responses.
            pipelined.error = error
        finally:
            self.open_requests -= 1
            self.aborted_requests += reader.aborted
            pipelined.done.set()

    @staticmethod
    async def _handle_failure(error: Exception, reply: Reply, has_next: bool) -> None:
        """Send the error response; it closes the connection unless other responses follow."""
        if isinstance(error, CallerDisconnectedError | BrokenInvariantError):
            raise error
        log_event(
            "request_failed",
            error=f"{type(error).__name__}: {error}",
            trace="".join(traceback.format_exception(error)),
        )
        if reply.started:
            raise CallerDisconnectedError
        message = "the request failed inside the system and may have run"
        await send_error(reply, 500, "internal_error", message, "unknown", closes=not has_next)

    def close_idle(self) -> None:
        """Close the connections that are waiting for a request."""
        for reader in tuple(self.readers):
            reader.close_idle()


async def lingering_close(reader: ConnectionReader) -> None:
    """Discard input for a while before closing, so that the caller can read the last response.

    Closing a socket with unread input resets the connection, which can discard the response.
    """
    await reader.stream.send_eof()
    received_bytes = 0
    deadline_s = trio.current_time() + LINGER_TIMEOUT_S
    while received_bytes < MAX_LINGER_BYTES:
        data = await reader.read(deadline_s, idle=False)
        if not data:
            return
        received_bytes += len(data)
