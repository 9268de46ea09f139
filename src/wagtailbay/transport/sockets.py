"""Read and write sockets with as few system calls and task switches as possible.

trio's streams try first and switch tasks after every call, which the request path does six times.
Every loop that uses these functions waits for a socket between two of its rounds, so other tasks
still get their turn.
"""

import os
import select

import trio


async def receive(stream: trio.abc.ReceiveStream, max_bytes: int) -> bytes:
    """Wait for bytes and receive them; empty at the end of the stream.

    Raises:
        OSError: The connection broke.
        trio.BrokenResourceError, trio.ClosedResourceError: The same for other streams.
    """
    if not isinstance(stream, trio.SocketStream):
        return await stream.receive_some(max_bytes)
    while True:
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            return os.read(stream.socket.fileno(), max_bytes)
        except BlockingIOError:
            continue


def send_nowait(stream: trio.abc.SendStream, data: bytes) -> int:
    """Send what the socket takes without waiting; returns the number of bytes.

    Raises:
        OSError: The connection broke.
    """
    if not isinstance(stream, trio.SocketStream):
        return 0
    try:
        return os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        return 0


async def send_remaining(stream: trio.abc.SendStream, data: bytes, sent_bytes: int) -> None:
    """Send what send_now left over."""
    if sent_bytes < len(data):
        await stream.send_all(memoryview(data)[sent_bytes:])


def is_closed_by_peer(stream: trio.abc.Stream) -> bool:
    """Tell whether the other side has closed or broken the connection, without waiting."""
    if not isinstance(stream, trio.SocketStream):
        return False
    poller = select.poll()
    poller.register(stream.socket.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))
