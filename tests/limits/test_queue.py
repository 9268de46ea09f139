"""Test the queue of requests that wait for tokens."""

import trio
import trio.testing
from attrs import define, field

from wagtailbay.allotment import EqualShares
from wagtailbay.limits import BudgetLimit, FairQueue


@define
class AdmissionRecorder:
    """Records the order in which requests are served."""

    queue: FairQueue
    served: list[str] = field(factory=list)

    async def take(self, account, workspace: str) -> None:
        """Take one token and record the workspace if admitted."""
        if await self.queue.take(account, workspace):
            self.served.append(workspace)


def empty_account(rate_per_s: float):
    """Return an account of the given rate without tokens."""
    shares = EqualShares(lambda: 1, trio.current_time())
    return shares.account("b", BudgetLimit(rate_per_s, 10.0), trio.current_time())


class TestFairQueue:
    """Waits are bounded, fair between workspaces, and only as long as they can succeed."""

    async def test_serves_workspaces_in_turn(self, autojump_clock) -> None:
        """Guards against a workspace with many requests that delays all others."""
        recorder, account = AdmissionRecorder(FairQueue(trio.current_time)), empty_account(50.0)
        async with trio.open_nursery() as nursery:
            for workspace in ("loud", "loud", "loud", "loud", "quiet"):
                nursery.start_soon(recorder.take, account, workspace)
                await trio.testing.wait_all_tasks_blocked()
        assert recorder.served[:3].count("quiet") == 1
        assert len(recorder.served) == 5

    async def test_waits_at_most_200_ms(self, autojump_clock) -> None:
        """Guards against requests that wait longer than the limit in a workspace above its rate."""
        recorder, account = AdmissionRecorder(FairQueue(trio.current_time)), empty_account(5.1)
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(recorder.take, account, "loud")
        assert trio.current_time() - started_s <= 0.2 + 1e-6
        assert len(recorder.served) <= 2

    async def test_refuses_at_once_what_cannot_come(self, autojump_clock) -> None:
        """Guards against delaying a refusal when no token can arrive in time."""
        started_s = trio.current_time()
        assert not await FairQueue(trio.current_time).take(empty_account(1.0), "loud")
        assert trio.current_time() == started_s
