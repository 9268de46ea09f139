"""Responses to callers."""

import json
from collections.abc import Callable
from typing import Any, Protocol

import h11
import trio
from attrs import define

from wagtailbay.transport.const import SEND_TIMEOUT_S
from wagtailbay.transport.models import Headers, ResponseHead
from wagtailbay.transport.sockets import (
    is_closed_by_peer,
    reset_on_close,
    send_nowait,
    send_remaining,
)
from wagtailbay.transport.wire import (
    END_OF_MESSAGE,
    build_unframed_protocol,
    encode_response_head,
)


class CallerDisconnectedError(Exception):
    """Raised in a handler when the caller has closed the connection."""


class ResponseSink(Protocol):
    """Receiver of one streamed response; ``started`` is set once it has accepted the head."""

    started: bool

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""

    async def start(self, status: int, headers: Headers, until_close: bool = False) -> None:
        """Accept the head of the response.

        Args:
            until_close: Whether the end of the connection is to be the only end of the response.
        """

    async def send(self, data: bytes) -> None:
        """Accept a chunk of the body."""

    async def finish(self) -> None:
        """Accept the proper end of the body."""


@define
class Reply:
    """Response to the caller of one request, sent whole or in chunks.

    Attributes:
        closing: Returns whether the connection must close after this response.
        bodiless: Whether the response has no body, as for HEAD requests and statuses 204 and 304.
        started: Whether the head of the response has been set.
        finished: Whether the whole response has been sent.
        pending_head: Encoded head, sent together with the first chunk of the body.
        on_finish: Called when the whole response has been sent.
        until_close: Whether only the end of the connection ends the response. Until the response
            is finished, the connection is reset whenever it closes, even by the end of the process.
    """

    stream: trio.abc.Stream
    protocol: h11.Connection
    closing: Callable[[], bool]
    bodiless: bool = False
    started: bool = False
    finished: bool = False
    pending_head: bytes = b""
    on_finish: Callable[[], None] = lambda: None
    until_close: bool = False

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed the connection, even before its end is read."""
        return is_closed_by_peer(self.stream)

    async def start(self, status: int, headers: Headers, until_close: bool = False) -> None:
        """Encode the head of the response, which is sent with the first chunk of the body.

        Args:
            until_close: Whether to state no length, so that the response ends with the connection.
        """
        if until_close:
            self.until_close = True
            self.protocol = build_unframed_protocol()
            reset_on_close(self.stream)
        if self.closing():
            headers = (*headers, ("Connection", "close"))
        self.started = True
        self.bodiless = self.bodiless or status in (204, 304)
        self.pending_head = (
            self.protocol.send(encode_response_head(ResponseHead(status, headers))) or b""
        )

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body."""
        if not self.bodiless:
            await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Send the end of the body and complete the response."""
        await self._send(END_OF_MESSAGE)
        if self.until_close:
            reset_on_close(self.stream, enabled=False)
        self.finished = True
        self.on_finish()

    async def _send(self, event: h11.Event) -> None:
        data = self.pending_head + (self.protocol.send(event) or b"")
        self.pending_head = b""
        if not data:
            return
        try:
            sent_bytes = send_nowait(self.stream, data)
            if sent_bytes < len(data):
                with trio.fail_after(SEND_TIMEOUT_S):
                    await send_remaining(self.stream, data, sent_bytes)
        except trio.TooSlowError as error:
            raise CallerDisconnectedError from error
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as error:
            raise CallerDisconnectedError from error

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response with its Content-Length."""
        length = () if status in (204, 304) else (("Content-Length", str(len(body))),)
        await self.start(status, (*headers, *length))
        await self.send(body)
        await self.finish()

    async def send_json(self, status: int, value: Any, headers: Headers = ()) -> None:
        """Send a complete JSON response."""
        content_type = ("Content-Type", "application/json")
        await self.send_response(
            status, (content_type, *headers), json.dumps(value).encode() + b"\n"
        )


async def send_error(
    reply: Reply,
    status: int,
    code: str,
    message: str,
    run: str,
    headers: Headers = (),
    closes: bool = True,
) -> None:
    """Send an error response; run is ``not_run`` or ``unknown``.

    Args:
        closes: Whether the connection closes after the response.
    """
    error = {"code": code, "message": message, "run": run}
    common: Headers = (("Wagtailbay-Run", run.replace("_", "-")),)
    if closes:
        common += (("Connection", "close"),)
    await reply.send_json(status, {"error": error}, (*headers, *common))
