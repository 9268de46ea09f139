"""Socket reads and writes with as few system calls and task switches as possible.

trio's streams attempt each operation before waiting and run a checkpoint on every call, of which
the request path makes six. Every loop that uses these functions waits for a socket in each
iteration, so other tasks still get to run.
"""

import os
import select
import socket
import struct

import trio


async def receive(stream: trio.abc.ReceiveStream, max_bytes: int) -> bytes:
    """Wait for bytes and return them; empty at the end of the stream.

    Raises:
        OSError: The connection failed.
        trio.ClosedResourceError: This process has closed the stream.
        trio.BrokenResourceError: A stream other than a socket failed.
    """
    if not isinstance(stream, trio.SocketStream):
        return await stream.receive_some(max_bytes)
    while True:
        if stream.socket.fileno() < 0:
            raise trio.ClosedResourceError("this process has closed the stream")
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            return os.read(stream.socket.fileno(), max_bytes)
        except BlockingIOError:
            continue


def receive_nowait(stream: trio.abc.ReceiveStream, max_bytes: int) -> bytes:
    """Return the bytes that have arrived, without waiting; empty if there are none."""
    if not isinstance(stream, trio.SocketStream):
        return b""
    try:
        return os.read(stream.socket.fileno(), max_bytes)
    except OSError:
        return b""


def send_nowait(stream: trio.abc.SendStream, data: bytes) -> int:
    """Send as much as the socket accepts without blocking; return the number of bytes sent.

    Raises:
        OSError: The connection failed.
    """
    if not isinstance(stream, trio.SocketStream):
        return 0
    try:
        return os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        return 0


async def send_remaining(stream: trio.abc.SendStream, data: bytes, sent_bytes: int) -> None:
    """Send the bytes that ``send_nowait`` could not send."""
    if sent_bytes < len(data):
        await stream.send_all(memoryview(data)[sent_bytes:])


def is_closed_by_peer(stream: trio.abc.Stream) -> bool:
    """Return whether the peer has closed or reset the connection, without reading or waiting."""
    if not isinstance(stream, trio.SocketStream):
        return False
    poller = select.poll()
    poller.register(stream.socket.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def reset_on_close(stream: trio.abc.Stream, enabled: bool = True) -> None:
    """Choose whether the close of a connection, also by the end of the process, resets it."""
    if isinstance(stream, trio.SocketStream):
        linger = struct.pack("ii", int(enabled), 0)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def limit_retransmission(stream: trio.abc.Stream, timeout_s: float) -> None:
    """Let the kernel give the connection up if bytes remain unacknowledged for this long.

    The kernel does so by itself, also while this process is stopped.
    """
    if isinstance(stream, trio.SocketStream):
        timeout_ms = round(timeout_s * 1000)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
