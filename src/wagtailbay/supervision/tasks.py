"""Run tasks so that their unexpected errors do not end the process."""

import traceback
from collections.abc import Awaitable, Callable

import trio

from wagtailbay.invariants import BrokenInvariantError
from wagtailbay.logs import log_event
from wagtailbay.supervision.const import MAX_RESTART_DELAY_S, MIN_RESTART_DELAY_S, STABLE_RUN_S


async def keep_running(task: Callable[[], Awaitable[None]], name: str) -> None:
    """Run a task until it returns; log an unexpected error and start the task again.

    The task must set up its own state when it starts.

    Raises:
        BrokenInvariantError, or a group that contains one: The state of the process is
            inconsistent.
    """
    delay_s = MIN_RESTART_DELAY_S
    while True:
        started_s = trio.current_time()
        try:
            return await task()
        except Exception as error:
            if contains_broken_invariant(error):
                raise
            if trio.current_time() - started_s > STABLE_RUN_S:
                delay_s = MIN_RESTART_DELAY_S
            _log_failure("task_restarted", name, error, restart_after_ms=round(delay_s * 1000))
        await trio.sleep(delay_s)
        delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)


async def run_isolated(task: Callable[[], Awaitable[None]], name: str) -> None:
    """Run a task once and log an unexpected error.

    Raises:
        BrokenInvariantError, or a group that contains one: The state of the process is
            inconsistent.
    """
    try:
        await task()
    except Exception as error:
        if contains_broken_invariant(error):
            raise
        _log_failure("task_failed", name, error)


def contains_broken_invariant(error: Exception) -> bool:
    """Return whether an error, or any error of an exception group, is a broken invariant."""
    if isinstance(error, ExceptionGroup):
        return error.subgroup(BrokenInvariantError) is not None
    return isinstance(error, BrokenInvariantError)


def _log_failure(event: str, name: str, error: Exception, **fields: int) -> None:
    log_event(
        event,
        task=name,
        error=f"{type(error).__name__}: {error}"[:300],
        trace="".join(traceback.format_exception(error)[-3:])[-2_000:],
        **fields,
    )
