"""Targets that record what they run, and answer wrongly in ways that a seed chooses."""

from collections.abc import Callable
from math import inf
from random import Random

import trio
from attrs import define, field

from wagtailbay.transport.sockets import reset_on_close
from wagtailbay_bench.soak.const import (
    REFUSAL_SHARE,
    TARGET_QUEUE,
    TARGET_SLOTS,
    WORK_RANGE_S,
)
from wagtailbay_bench.soak.faults import ALL_FAULTS, BROKEN_IN_FIELD, TargetExchange
from wagtailbay_bench.soak.models import History, ReturnedRequest, Run


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
        link_delay_s: Time that bytes take between the target and any gateway, in each direction.
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
    link_delay_s: float = 0.0
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
        await trio.sleep(self.link_delay_s)
        return TargetExchange(
            connection.stream,
            fields.get("request-id", ""),
            self.random,
            self.name,
            fields.get("expect-instance") == self.name,
            self.names_refusals,
            self.link_delay_s,
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
        arrived_s = trio.current_time()
        try:
            async with self.slots:
                is_faulty = bool(self.faults) and self.random.random() < self.fault_share
                run = Run(exchange.request_id, self.name, trio.current_time(), arrived_s)
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
