"""Signals that ask a program to stop."""

import signal

import trio

from wagtailbay.logs import log_event


async def watch_stop_signals(
    stop_asked: trio.Event, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
) -> None:
    """Set the event at the first SIGTERM or SIGINT, and ignore further ones until cancelled.

    With their default action, a further signal would end the process during its graceful stop.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for number in signals:
            if stop_asked.is_set():
                log_event("stop_signal_ignored", signal=signal.Signals(number).name)
            stop_asked.set()
