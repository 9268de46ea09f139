"""Answers of targets, right and wrong."""

from collections.abc import Mapping
from random import Random
from typing import Final, Protocol

import trio
from attrs import define

from wagtailbay.transport.sockets import reset_on_close
from wagtailbay_bench.soak.const import ENDLESS_S

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
        link_delay_s: Time that bytes take to the gateway.
    """

    stream: trio.SocketStream
    request_id: str
    random: Random
    target: str
    is_meant: bool = True
    names_refusals: bool = True
    link_delay_s: float = 0.0

    @property
    def misdirection(self) -> str:
        """Return a statement that the request is meant for another target."""
        return self.answer(421, *REFUSAL_HEADERS)

    async def send(self, text: str) -> None:
        """Send text as bytes."""
        await trio.sleep(self.link_delay_s)
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
