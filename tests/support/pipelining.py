"""Caller that sends requests ahead, and a service whose requests end when a test lets them."""

import trio
from attrs import define, field

from wagtailbay.transport import CallerDisconnectedError, HttpServer

WAIT_S = 30
WORK_S = 0.5


def get(path: str, *fields: str, method: str = "GET") -> bytes:
    """Encode a request without a body."""
    return "\r\n".join([f"{method} /{path} HTTP/1.1", "Host: x", *fields, "", ""]).encode()


@define
class Caller:
    """Connection of a caller that reads one response after another."""

    stream: trio.SocketStream
    received: bytes = b""

    async def send(self, *requests: bytes) -> None:
        """Send requests in one go."""
        await self.stream.send_all(b"".join(requests))

    async def read(self, method: str = "GET") -> tuple[int, str, str]:
        """Read a response with a stated length; return status, lower-case head and body."""
        while b"\r\n\r\n" not in self.received:
            await self._receive()
        head, _, self.received = self.received.partition(b"\r\n\r\n")
        text = head.decode().lower()
        length = int(text.partition("content-length: ")[2].split("\r\n")[0])
        while method != "HEAD" and len(self.received) < length:
            await self._receive()
        size = 0 if method == "HEAD" else length
        body, self.received = self.received[:size], self.received[size:]
        return int(text.split()[1]), text, body.decode()

    async def read_bodies(self, count: int) -> list[str]:
        """Read some responses and return their bodies."""
        with trio.fail_after(WAIT_S):
            return [(await self.read())[2] for _ in range(count)]

    async def read_rest(self) -> bytes:
        """Return everything until the server closes; a reset raises an error."""
        with trio.fail_after(WAIT_S):
            async for data in self.stream:
                self.received += data
        return self.received

    async def _receive(self) -> None:
        data = await self.stream.receive_some(65_536)
        assert data, f"the connection ended after {self.received[-200:]!r}"
        self.received += data


@define(eq=False)
class Service:
    """Handler whose requests end when a test lets them; each is known by its path.

    Attributes:
        begun: Paths of the requests whose handlers have started, in order.
        cancelled: Paths of those that were cancelled.
        gates: Events that requests wait for, by path; others end at once.
    """

    begun: list[str] = field(factory=list)
    cancelled: list[str] = field(factory=list)
    gates: dict[str, trio.Event] = field(factory=dict)
    most_running: int = 0
    server: HttpServer | None = None

    def may_run_ahead(self, request) -> bool:
        """Allow all requests but those to ``/once``."""
        return not request.path.startswith("/once")

    async def handle(self, request, reply) -> None:
        """Respond with the path, and with what else the path says."""
        path = request.path[1:]
        self.begun.append(path)
        self.most_running = max(self.most_running, self.server.open_requests)
        try:
            await self._work(path, reply)
        except trio.Cancelled:
            self.cancelled.append(path)
            raise

    async def _work(self, path: str, reply) -> None:
        if path.startswith("slow"):
            await trio.sleep(WORK_S)
        if path in self.gates:
            await self.gates[path].wait()
        if path == "fault":
            raise ValueError("a fault in the handler")
        if path == "cut":
            await reply.start(200, (("Content-Length", "9"),))
            await reply.send(b"part")
            raise CallerDisconnectedError
        if path.startswith("large"):
            size = int(path.partition("-")[2])
            await reply.start(200, (("Content-Length", str(2 * size)),))
            await reply.send(b"x" * size)
            await reply.send(b"x" * size)
            await reply.finish()
        elif path == "unframed":
            await reply.start(200, (), until_close=True)
            await reply.send(b"unframed")
            await reply.finish()
        else:
            await reply.send_response(200, (), path.encode())

    def hold(self, *paths: str) -> None:
        """Let requests wait for ``gates[path]``."""
        self.gates |= {path: trio.Event() for path in paths}

    async def wait_begun(self, *paths: str) -> None:
        """Wait until exactly the given requests have begun, in any order."""
        with trio.fail_after(WAIT_S):
            while len(self.begun) < len(paths):
                await trio.sleep(0.01)
        await trio.sleep(0.05)
        assert sorted(self.begun) == sorted(paths)
