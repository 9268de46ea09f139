"""Targets that record what they run, and answer wrongly in ways that a seed chooses."""

from collections.abc import Callable, Mapping
from math import inf
from random import Random
from typing import Final, Protocol

import trio
from attrs import define, field

from wagtailbay.transport.sockets import reset_on_close
from wagtailbay_bench.soak.const import (
    ENDLESS_S,
    REFUSAL_SHARE,
    TARGET_QUEUE,
    TARGET_SLOTS,
    WORK_RANGE_S,
)
from wagtailbay_bench.soak.models import History, ReturnedRequest, Run

REFUSAL_HEADERS: Final = ("Not-Executed: 1",)
# Heads that break off, to which the next answer is appended.
BROKEN_IN_FIELD: Final = "HTTP/1.1 503 Status\r\nNot-Executed: 1\r\nX-Odd: "
BROKEN_HEADS: Final = (
    BROKEN_IN_FIELD,
    "HTTP/1.1 503 Sta",
    "HTTP/1.1 200 Sta",
    "HTTP/1.1 100 Con",
    "HTTP/1.1 503 Status\r\nNot-Executed: 1\r\n",
)


@define
class TargetExchange:
    """One request at a target, and the connection on which to answer it.

    Attributes:
        is_meant: Whether the request names this target as its receiver.
        names_refusals: Whether refusals carry the ID of their request.
    """

    stream: trio.SocketStream
    request_id: str
    random: Random
    target: str
    is_meant: bool = True
    names_refusals: bool = True

    @property
    def misdirection(self) -> str:
        """Return a statement that the request is meant for another target."""
        return self.answer(421, *REFUSAL_HEADERS)

    async def send(self, text: str) -> None:
        """Send text as bytes."""
        await self.stream.send_all(text.encode("latin-1"))

    def sealed_head(self) -> str:
        """Return the head of a success, to which framing and the end of the head are missing."""
        seal = f"{self.target}.{self.request_id}/200"
        return f"HTTP/1.1 200 OK\r\nRequest-Id: {self.request_id}\r\nResponse-Seal: {seal}\r\n"

    def answer(self, status: int = 200, *headers: str, with_id: bool = True) -> str:
        """Return a complete answer to this request."""
        body = f"{self.request_id} {self.target}" if status == 200 else "no"
        lines = [f"HTTP/1.1 {status} Status", *headers]
        if with_id:
            lines.append(f"Request-Id: {self.request_id}")
        if not headers:
            lines.append(f"Response-Seal: {self.target}.{self.request_id}/{status}")
        return "\r\n".join((*lines, f"Content-Length: {len(body)}", "", body))

    def refusal(self, with_id: bool = True) -> str:
        """Return a statement that this request was not run."""
        status = self.random.choice((503, 503, 429))
        return self.answer(status, *REFUSAL_HEADERS, with_id=with_id and self.names_refusals)

    async def close(self, reset: bool = False) -> None:
        """Close the connection, with a reset if asked."""
        if reset:
            reset_on_close(self.stream)
        self.stream.socket.close()

    async def send_without_end(self, start: str, chunk: str) -> None:
        """Send the same text again and again until the peer closes, or for a few seconds."""
        with trio.move_on_after(ENDLESS_S):
            await self.send(start)
            while True:
                await self.send(chunk)
        await self.close(reset=True)


class TargetFault(Protocol):
    """Wrong way to answer a request that has run."""

    async def __call__(self, exchange: TargetExchange) -> None:
        """Answer the request."""


async def promise_without_proof(exchange: TargetExchange) -> None:
    """Answer with a status that promises 'not run', without the header that states it."""
    await exchange.send(exchange.answer(exchange.random.choice((503, 429, 408, 421))))


async def close_without_answer(exchange: TargetExchange) -> None:
    """Lose the answer."""
    await exchange.close()


async def reset_without_answer(exchange: TargetExchange) -> None:
    """Reset the connection in place of an answer."""
    await exchange.close(reset=True)


async def half_close(exchange: TargetExchange) -> None:
    """Close the sending direction only."""
    await exchange.stream.send_eof()
    await trio.sleep(1.0)


async def stay_silent(exchange: TargetExchange) -> None:
    """Never answer."""
    await trio.sleep_forever()


async def truncate(exchange: TargetExchange) -> None:
    """Break off in the head or in the body."""
    text = exchange.answer()
    await exchange.send(text[: exchange.random.randrange(1, len(text))])
    await exchange.close(reset=exchange.random.random() < 0.5)


async def answer_without_length(exchange: TargetExchange) -> None:
    """Answer without a length, and close or reset the connection somewhere in the body."""
    body = exchange.answer().partition("\r\n\r\n")[2]
    is_cut = exchange.random.random() < 0.5
    sent = body[: exchange.random.randrange(len(body))] if is_cut else body
    await exchange.send(f"{exchange.sealed_head()}\r\n{sent}")
    await exchange.close(reset=is_cut)


async def answer_without_seal(exchange: TargetExchange) -> None:
    """Send a success that has no seal."""
    await exchange.send(exchange.answer(200, "X-Odd: 1"))


async def send_garbage(exchange: TargetExchange) -> None:
    """Send bytes that are no answer."""
    await exchange.send("\x00\xff garbage \r\n\r\n" * 3)


async def answer_twice_without_id(exchange: TargetExchange) -> None:
    """Write the answer once more, without an ID, at once or a little later."""
    await _answer_twice(exchange, with_id=False)


async def answer_twice(exchange: TargetExchange) -> None:
    """Write the answer once more, with its ID, at once or a little later."""
    await _answer_twice(exchange, with_id=True)


async def _answer_twice(exchange: TargetExchange, with_id: bool) -> None:
    await exchange.send(exchange.answer())
    await trio.sleep(exchange.random.choice((0.0, 0.03)))
    await exchange.send(exchange.answer(with_id=with_id))


async def answer_in_pieces(exchange: TargetExchange) -> None:
    """Send the answer in small pieces with pauses; it is correct."""
    text = exchange.answer()
    for start in range(0, len(text), 40):
        await exchange.send(text[start : start + 40])
        await trio.sleep(0.02)


async def send_endless_head(exchange: TargetExchange) -> None:
    """Send a head without end."""
    await exchange.send_without_end("HTTP/1.1 200 OK\r\n", "X-Odd: 1\r\n" * 500)


async def send_endless_body(exchange: TargetExchange) -> None:
    """Send a body without length and without end."""
    start = f"{exchange.sealed_head()}\r\n"
    await exchange.send_without_end(start, "x" * 16_384)


async def send_endless_small_chunks(exchange: TargetExchange) -> None:
    """Send a body without end in chunks of one byte."""
    start = f"{exchange.sealed_head()}Transfer-Encoding: chunked\r\n\r\n"
    await exchange.send_without_end(start, "1\r\nx\r\n" * 2_000)


FAULTS: Final[Mapping[str, TargetFault]] = {
    fault.__name__: fault
    for fault in (
        promise_without_proof,
        close_without_answer,
        reset_without_answer,
        half_close,
        stay_silent,
        truncate,
        send_garbage,
        answer_twice_without_id,
        answer_in_pieces,
        send_endless_head,
        send_endless_body,
        send_endless_small_chunks,
    )
}


# The seeds of a soak without a site draw from the faults above only.
SITE_FAULTS: Final[Mapping[str, TargetFault]] = {
    fault.__name__: fault for fault in (answer_without_length, answer_without_seal, answer_twice)
}
ALL_FAULTS: Final = FAULTS | SITE_FAULTS


@define
class TargetConnection:
    """Connection of a gateway to a target.

    Attributes:
        received: Bytes of requests that are not read yet.
        copy: Second copy of a refusal, to be written while the next request runs.
        refused_ids: IDs of the requests whose refusals were written once more.
    """

    stream: trio.SocketStream
    received: bytes = b""
    copy: str = ""
    refused_ids: set[str] = field(factory=set)


@define
class SoakTarget:
    """Target with slots and a queue that turns some requests away and answers some wrongly.

    Attributes:
        fault_share: Share of requests answered by one of the faults.
        repeat_share: Share of refusals that are written once more on the same connection.
        refusal_share: Share of requests that the target turns away.
        names_refusals: Whether refusals carry the ID of their request.
        unnamed_copy_share: Share of the second copies of refusals that carry no ID.
        broken_head: Beginning of a head that is written before some answers.
        max_idle_s: Connections that were idle for longer are reset by their next request.
        streams: Open connections.
        refused_ids: IDs of the requests whose refusals were written once more.
    """

    name: str
    history: History
    random: Random
    faults: tuple[str, ...] = ()
    fault_share: float = 0.0
    repeat_share: float = 0.0
    refusal_share: float = REFUSAL_SHARE
    work_range_s: tuple[float, float] = WORK_RANGE_S
    names_refusals: bool = True
    unnamed_copy_share: float = 0.5
    broken_head: str = BROKEN_IN_FIELD
    max_idle_s: float = inf
    streams: set[trio.SocketStream] = field(factory=set)
    refused_ids: set[str] = field(factory=set)
    pending: int = 0
    slots: trio.CapacityLimiter = field(factory=lambda: trio.CapacityLimiter(TARGET_SLOTS))

    def reset_connections(self) -> None:
        """Let the end of the target reset its connections."""
        for stream in self.streams:
            if stream.socket.fileno() >= 0:
                reset_on_close(stream)

    async def serve(self, port: int = 0, *, task_status: trio.TaskStatus) -> None:
        """Serve on a loopback port, 0 for a free one; report ``ip:port`` once started."""
        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        task_status.started(f"{host}:{port}")
        await trio.serve_listeners(self._serve_connection, listeners)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = TargetConnection(stream)
        self.streams.add(stream)
        try:
            while (exchange := await self._receive_request(connection)) is not None:
                await self._answer(exchange, connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            self.streams.discard(stream)
            await trio.aclose_forcefully(stream)

    async def _receive_request(self, connection: TargetConnection) -> TargetExchange | None:
        """Receive a request; return None if the connection has ended or is reset."""
        idle_since_s = trio.current_time()
        while b"\r\n\r\n" not in connection.received:
            if not (data := await connection.stream.receive_some(65_536)):
                return None
            connection.received += data
        if trio.current_time() - idle_since_s > self.max_idle_s:
            reset_on_close(connection.stream)
            return None
        head, _, connection.received = connection.received.partition(b"\r\n\r\n")
        fields = _parse_fields(head)
        length_bytes = int(fields.get("content-length", "0"))
        while len(connection.received) < length_bytes:
            if not (data := await connection.stream.receive_some(65_536)):
                return None
            connection.received += data
        connection.received = connection.received[length_bytes:]
        return TargetExchange(
            connection.stream,
            fields.get("request-id", ""),
            self.random,
            self.name,
            fields.get("expect-instance") == self.name,
            self.names_refusals,
        )

    async def _answer(self, exchange: TargetExchange, connection: TargetConnection) -> None:
        """Run or refuse a request."""
        if exchange.request_id in self.refused_ids:
            same_connection = exchange.request_id in connection.refused_ids
            returned = ReturnedRequest(exchange.request_id, self.name, same_connection)
            self.history.returned.append(returned)
        copy, connection.copy = connection.copy, ""
        if not exchange.is_meant:
            await exchange.send(copy + exchange.misdirection)
            await self._repeat_refusal(exchange, connection, lambda: exchange.misdirection)
            return
        is_full = self.pending >= TARGET_SLOTS + TARGET_QUEUE
        if is_full or self.random.random() < self.refusal_share:
            await exchange.send(copy + exchange.refusal())
            await self._repeat_refusal(
                exchange,
                connection,
                lambda: exchange.refusal(with_id=self.random.random() >= self.unnamed_copy_share),
            )
            return
        await self._run(exchange, copy)

    async def _run(self, exchange: TargetExchange, copy: str) -> None:
        """Run a request, and write bytes of an earlier one while it runs."""
        self.pending += 1
        try:
            async with self.slots:
                is_faulty = bool(self.faults) and self.random.random() < self.fault_share
                run = Run(exchange.request_id, self.name, trio.current_time())
                self.history.runs.append(run)
                work_s = self.random.uniform(*self.work_range_s)
                await trio.sleep(work_s / 2)
                if copy:
                    await exchange.send(copy)
                await trio.sleep(work_s / 2)
            if is_faulty:
                await ALL_FAULTS[self.random.choice(self.faults)](exchange)
            else:
                await exchange.send(exchange.answer())
        finally:
            self.pending -= 1

    async def _repeat_refusal(
        self,
        exchange: TargetExchange,
        connection: TargetConnection,
        build_copy: Callable[[], str],
    ) -> None:
        """Write a refusal once more: at once, a little later, or while the next request runs."""
        if self.random.random() >= self.repeat_share:
            return
        copy = build_copy()
        when = self.random.choice(("at_once", "later", "next", "next", "cut"))
        if when == "cut":
            connection.copy = self.broken_head
            return
        if "Request-Id:" in copy:
            self.refused_ids.add(exchange.request_id)
            connection.refused_ids.add(exchange.request_id)
        if when == "next":
            connection.copy = copy
            return
        await trio.sleep(0.0 if when == "at_once" else 0.03)
        await exchange.send(copy)


def _parse_fields(head: bytes) -> dict[str, str]:
    """Return the header fields of a request by lower-case name."""
    fields = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return fields
