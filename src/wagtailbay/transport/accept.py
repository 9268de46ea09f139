"""Accept connections, all that wait at each turn of the event loop."""

import socket
from collections.abc import Awaitable, Callable

import trio

from wagtailbay.logs import log_event

LISTEN_BACKLOG = 4_096
# Others get their turn after this many.
MAX_ACCEPTS_PER_WAKEUP = 64
# Without descriptors to spare, accepting is tried again after this pause.
ACCEPT_RETRY_DELAY_S = 0.1


def open_listener(address: tuple[str, int]) -> socket.socket:
    """Listen on an address.

    Raises:
        OSError: The address cannot be listened on.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


async def accept_connections(
    listener: socket.socket,
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    nursery: trio.Nursery,
) -> None:
    """Accept until cancelled and serve each connection in a task of the nursery.

    trio's own loop accepts one connection a turn. With many busy tasks a turn takes long, and
    callers waited for seconds in the queue of the listener.
    """
    while True:
        await trio.lowlevel.wait_readable(listener)
        for _ in range(MAX_ACCEPTS_PER_WAKEUP):
            try:
                accepted, _ = listener.accept()
            except BlockingIOError:
                break
            except OSError as error:
                log_event("connection_not_accepted", reason=str(error))
                await trio.sleep(ACCEPT_RETRY_DELAY_S)
                break
            accepted.setblocking(False)
            nursery.start_soon(serve, trio.SocketStream(trio.socket.from_stdlib_socket(accepted)))
