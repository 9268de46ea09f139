"""Tests of tasks that raise unexpected errors."""

import pytest
import trio
import trio.testing

from wagtailbay.invariants import BrokenInvariantError
from wagtailbay.supervision import keep_running, run_isolated
from wagtailbay.supervision.const import MAX_RESTART_DELAY_S, MIN_RESTART_DELAY_S


class FailingTask:
    """Fails a number of times before it returns."""

    def __init__(self, errors: list[Exception]) -> None:
        self.errors = errors
        self.start_times_s: list[float] = []

    async def run(self) -> None:
        """Raise the next error, or return if there is none."""
        self.start_times_s.append(trio.current_time())
        if self.errors:
            raise self.errors.pop(0)


class TestKeepRunning:
    """A failed task starts again after a growing delay."""

    async def test_task_starts_again(self, autojump_clock):
        """Guards against a process that ends, or stops following, after one unexpected error."""
        group = ExceptionGroup("nursery", [ValueError("number"), KeyError("name")])
        task = FailingTask([KeyError("odd"), group, OverflowError("inf")])
        await keep_running(task.run, "reader")
        assert len(task.start_times_s) == 4

    async def test_delay_is_bounded(self, autojump_clock):
        """Guards against a busy loop, and against a task that stays away for minutes."""
        task = FailingTask([ValueError(str(number)) for number in range(12)])
        await keep_running(task.run, "reader")
        times_s = task.start_times_s
        delays_s = [after - before for before, after in zip(times_s, times_s[1:], strict=False)]
        assert min(delays_s) >= MIN_RESTART_DELAY_S
        assert max(delays_s) <= MAX_RESTART_DELAY_S + 0.001

    async def test_broken_invariant_is_raised(self, autojump_clock):
        """Guards against continuing with inconsistent state."""
        for error in (BrokenInvariantError("x"), ExceptionGroup("n", [BrokenInvariantError("x")])):
            with pytest.raises((BrokenInvariantError, ExceptionGroup)):
                await keep_running(FailingTask([error]).run, "reader")

    async def test_cancellation_ends_the_task(self, autojump_clock):
        """Guards against a task that survives the stop of its process."""
        with trio.move_on_after(5):
            await keep_running(trio.sleep_forever, "sleeper")


class TestRunIsolated:
    """A failed task is logged and not started again."""

    async def test_error_does_not_propagate(self):
        """Guards against one failed check that ends the process."""
        task = FailingTask([ValueError("odd"), ValueError("odd")])
        await run_isolated(task.run, "crash_check")
        assert len(task.start_times_s) == 1

    async def test_broken_invariant_is_raised(self):
        """Guards against continuing with inconsistent state."""
        with pytest.raises(BrokenInvariantError):
            await run_isolated(FailingTask([BrokenInvariantError("x")]).run, "crash_check")
