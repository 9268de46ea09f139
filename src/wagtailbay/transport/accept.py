"""Accept TCP connections in batches."""

import socket
from collections.abc import Awaitable, Callable

import trio

from wagtailbay.logs import log_event

Serve = Callable[[trio.SocketStream], Awaitable[None]]

LISTEN_BACKLOG = 4_096
# Other tasks run after this many accepted connections.
MAX_ACCEPTS_PER_WAKEUP = 64
# Delay before retrying after an accept error, such as running out of file descriptors.
ACCEPT_RETRY_DELAY_S = 0.1


def open_listener(address: tuple[str, int]) -> socket.socket:
    """Open a non-blocking TCP listener on an IP address and port.

    Raises:
        OSError: The address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


async def accept_connections(listener: socket.socket, serve: Serve, nursery: trio.Nursery) -> None:
    """Accept connections until cancelled and serve each one in its own task.

    ``trio.serve_listeners`` accepts one connection per iteration of the event loop. With many busy
    tasks an iteration takes so long that connections waited for seconds in the listen backlog.
    """
    while True:
        await trio.lowlevel.wait_readable(listener)
        for _ in range(MAX_ACCEPTS_PER_WAKEUP):
            try:
                if not _accept_one(listener, serve, nursery):
                    break
            except OSError as error:
                log_event("connection_not_accepted", reason=str(error))
                await trio.sleep(ACCEPT_RETRY_DELAY_S)
                break


def accept_pending(listener: socket.socket, serve: Serve, nursery: trio.Nursery) -> None:
    """Accept the connections in the backlog, which closing the listener would reset."""
    try:
        while _accept_one(listener, serve, nursery):
            pass
    except OSError as error:
        log_event("connection_not_accepted", reason=str(error))


def _accept_one(listener: socket.socket, serve: Serve, nursery: trio.Nursery) -> bool:
    """Accept a connection and serve it in a task; return whether there was one."""
    try:
        accepted, _ = listener.accept()
    except BlockingIOError:
        return False
    accepted.setblocking(False)
    nursery.start_soon(serve, trio.SocketStream(trio.socket.from_stdlib_socket(accepted)))
    return True
