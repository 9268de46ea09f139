"""Check whether a target that closed a connection has terminated."""

import trio
from result import Err

from wagtailbay.quarantine.const import CONNECT_DELAYS_S, CONNECT_TIMEOUT_MS
from wagtailbay.transport import FailureKind, open_connection


async def refuses_connections(address: str) -> bool:
    """Return whether a target refuses one of several connection attempts."""
    for wait_s in CONNECT_DELAYS_S:
        await trio.sleep(wait_s)
        opened = await open_connection(address, CONNECT_TIMEOUT_MS)
        if isinstance(opened, Err):
            if opened.err_value.kind is FailureKind.CONNECT:
                return True
            continue
        await opened.ok_value.close()
    return False
