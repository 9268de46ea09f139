"""Tests for the order of waiting requests."""

from typing import Any

import pytest
import trio

from wagtailbay.steer.wait_queue import WaitQueue


class TestWaitQueue:
    """Requests are woken round-robin by workspace."""

    async def test_small_workspace_is_not_delayed(self, autojump_clock: Any) -> None:
        """Guards against a large workspace that delays others.

        The check fails if requests are woken in order of arrival.
        """

        async def check(fair: bool) -> None:
            queue, order = WaitQueue(fair), []

            async def wait(workspace: str) -> None:
                await queue.wait(workspace, 10.0, 0.0)
                order.append(workspace)

            async with trio.open_nursery() as nursery:
                for workspace in ("large",) * 10 + ("small",):
                    nursery.start_soon(wait, workspace)
                    await trio.testing.wait_all_tasks_blocked()
                for _ in range(11):
                    queue.wake_next()
                    await trio.testing.wait_all_tasks_blocked()
            assert "small" in order[:2]
            assert not queue.queues

        await check(fair=True)
        with pytest.raises(AssertionError):
            await check(fair=False)

    async def test_wait_times_out_and_removes_entry(self, autojump_clock: Any) -> None:
        """Guards against requests that wait forever, and ended waits that leave queue entries."""
        queue = WaitQueue()
        await queue.wait("unam", 5.2, 5.0)
        assert trio.current_time() <= 0.25
        with trio.move_on_after(0.01):
            await queue.wait("unam", 9.0, 5.0)
        assert len(queue) == 0
        assert not queue.queues
