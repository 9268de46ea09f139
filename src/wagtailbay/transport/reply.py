"""Send responses to a caller."""

import json
from collections.abc import Callable
from typing import Any, Protocol

import h11
import trio
from attrs import define

from wagtailbay.transport.const import SEND_TIMEOUT_S
from wagtailbay.transport.models import Headers, ResponseHead
from wagtailbay.transport.sockets import is_closed_by_peer, send_nowait, send_remaining
from wagtailbay.transport.wire import END_OF_MESSAGE, encode_response_head


class CallerDisconnectedError(Exception):
    """Raised in a handler when the caller's connection is closed under it."""


class ResponseSink(Protocol):
    """Take one answer, in parts; started tells whether its head was taken."""

    started: bool

    def is_disconnected(self) -> bool:
        """Tell whether nobody waits for the answer any more."""

    async def start(self, status: int, headers: Headers) -> None:
        """Take the head."""

    async def send(self, data: bytes) -> None:
        """Take a part of the body."""

    async def finish(self) -> None:
        """Take the proper end of the body."""


@define
class Reply:
    """Send one response to the caller, whole or in parts.

    Attributes:
        closing: Tells whether the connection must end after this response.
        bodiless: Whether the request was HEAD, whose answer has no body.
        held: The encoded head, sent together with the first part of the body.
        on_finish: Called when the whole answer is sent.
    """

    stream: trio.abc.Stream
    protocol: h11.Connection
    closing: Callable[[], bool]
    bodiless: bool = False
    started: bool = False
    finished: bool = False
    pending_head: bytes = b""
    on_finish: Callable[[], None] = lambda: None

    def is_disconnected(self) -> bool:
        """Tell whether the caller has closed, even if its end has not been received yet."""
        return is_closed_by_peer(self.stream)

    async def start(self, status: int, headers: Headers) -> None:
        """Take the head of the response."""
        if self.closing():
            headers = (*headers, ("Connection", "close"))
        self.started = True
        self.bodiless = self.bodiless or status in (204, 304)
        self.pending_head = (
            self.protocol.send(encode_response_head(ResponseHead(status, headers))) or b""
        )

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self.bodiless:
            await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Send the end of the body."""
        await self._send(END_OF_MESSAGE)
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
        """Send a complete response."""
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


async def send_error(reply: Reply, status: int, code: str, message: str, run: str) -> None:
    """Send the refusal with which the connection ends; run is ``not_run`` or ``unknown``."""
    error = {"code": code, "message": message, "run": run}
    headers = (("Wagtailbay-Run", run.replace("_", "-")), ("Connection", "close"))
    await reply.send_json(status, {"error": error}, headers)
