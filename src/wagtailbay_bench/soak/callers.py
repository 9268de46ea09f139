"""Callers that keep using their connections until the process is gone."""

from collections.abc import Sequence
from random import Random
from typing import Final

import h11
import trio
from attrs import define

from wagtailbay.settings.checks import split_address
from wagtailbay_bench.soak.const import (
    CLIENT_TIMEOUT_S,
    DEADLINE_MS,
    HOST,
    LEAVE_RANGE_S,
    SLOW_BODY_RANGE_S,
    SLOW_BODY_SHARE,
    THINK_RANGE_S,
)
from wagtailbay_bench.soak.documents import RECORD_ROUTES, SoakRoute
from wagtailbay_bench.soak.models import Exchange, History

BODY: Final = b"thesis"


@define
class SoakCaller:
    """Sends one request after another, and reconnects to any VM after its connection has ended.

    Attributes:
        vms: Name and address of each VM; VMs may be added.
        keys: API keys of the workspaces, empty if requests need none.
        leave_share: Share of requests whose caller leaves before the response.
    """

    name: str
    vms: list[tuple[str, str]]
    history: History
    random: Random
    routes: Sequence[SoakRoute] = RECORD_ROUTES
    keys: Sequence[str] = ()
    leave_share: float = 0.0
    sent: int = 0

    async def run(self, until_s: float) -> None:
        """Send requests until the given time."""
        while trio.current_time() < until_s:
            vm, address = self.random.choice(self.vms)
            try:
                with trio.fail_after(1.0):
                    stream = await trio.open_tcp_stream(*split_address(address))
            except (OSError, trio.TooSlowError):
                await trio.sleep(0.05)
                continue
            async with stream:
                await self._use_connection(stream, vm, until_s)

    async def _use_connection(self, stream: trio.SocketStream, vm: str, until_s: float) -> None:
        protocol = h11.Connection(h11.CLIENT)
        while trio.current_time() < until_s:
            exchange = await self._exchange(stream, protocol, vm)
            exchange.ended_s = trio.current_time()
            if exchange.status is None or protocol.their_state is not h11.DONE:
                return
            protocol.start_next_cycle()
            await trio.sleep(self.random.uniform(*THINK_RANGE_S))

    async def _exchange(
        self, stream: trio.SocketStream, protocol: h11.Connection, vm: str
    ) -> Exchange:
        """Send a request and record its response, or that there was none."""
        self.sent += 1
        idempotent = self.random.random() < 0.3
        exchange = Exchange(f"{self.name}-{self.sent}", idempotent, vm, trio.current_time())
        data = self._encode(protocol, exchange)
        self.history.exchanges.append(exchange)
        try:
            with trio.fail_after(CLIENT_TIMEOUT_S):
                if data.endswith(BODY) and self.random.random() < SLOW_BODY_SHARE:
                    await stream.send_all(data[: -len(BODY)])
                    await trio.sleep(self.random.uniform(*SLOW_BODY_RANGE_S))
                    data = BODY
                await stream.send_all(data)
                exchange.sent_s = trio.current_time()
                if self.leave_share and self.random.random() < self.leave_share:
                    await trio.sleep(self.random.uniform(*LEAVE_RANGE_S))
                    return exchange
                await _receive(stream, protocol, exchange)
        except (trio.BrokenResourceError, trio.TooSlowError, OSError, h11.RemoteProtocolError):
            exchange.status = None
        return exchange

    def _encode(self, protocol: h11.Connection, exchange: Exchange) -> bytes:
        fitting = [route for route in self.routes if route.idempotent is exchange.idempotent]
        route = fitting[0] if len(fitting) == 1 else self.random.choice(fitting)
        body = b"" if route.idempotent else BODY
        headers = [
            ("Host", HOST),
            ("Request-Id", exchange.request_id),
            ("Deadline-Ms", str(DEADLINE_MS)),
            ("Content-Length", str(len(body))),
        ]
        if self.keys:
            exchange.key = self.random.choice(self.keys)
            headers.append(("Authorization", f"Token {exchange.key}"))
        method = "GET" if route.idempotent else "POST"
        path = f"{route.path_prefix}{self.random.randrange(200)}"
        data = protocol.send(h11.Request(method=method, target=path, headers=headers))
        data += protocol.send(h11.Data(data=body)) if body else b""
        return data + protocol.send(h11.EndOfMessage())


async def _receive(stream: trio.SocketStream, protocol: h11.Connection, exchange: Exchange) -> None:
    """Receive a response; the status is recorded once the response is complete."""
    status, seal = None, ""
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(65_536))
        elif isinstance(event, h11.Response):
            status = event.status_code
            seal = dict(event.headers).get(b"response-seal", b"").decode()
        elif isinstance(event, h11.Data):
            exchange.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            exchange.status, exchange.seal = status, seal
            return
        elif isinstance(event, h11.ConnectionClosed):
            return
