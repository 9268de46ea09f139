"""Tests for fairness between workspaces while region budget is short."""

import random
from typing import Any

import pytest
import trio
import trio.testing
from attrs import define, field
from result import Ok
from steering_fakes import FLEET, FakeTargetHealth, query, service, target

from wagtailbay.limits import TokenBucket
from wagtailbay.steer import FullWeights, TwoChoiceChooser, build_chooser
from wagtailbay.steer.wait_queue import WaitQueue

SERVICE = service((target("t1"), target("t2")))


@define
class LimitedBudgets:
    """Budgets that allow 40 requests/s in total, to any region."""

    bucket: TokenBucket = field(factory=lambda: TokenBucket(40.0, 1.0, 0.0, 0.0))

    def take_region_budget(
        self, service: Any, region: str, now_s: float, healthy_fraction=1.0
    ) -> bool:
        """Take a token and return whether the bucket held one."""
        return self.bucket.take(1.0, now_s)

    def subscribe(self, service: Any, region: str, now_s: float, callback: Any) -> Any:
        """Never call back, since only time adds budget."""
        return lambda: None

    def wait_s(self, service: Any, region: str, now_s: float) -> float:
        """Return the time until the bucket holds a token."""
        self.bucket.refill(now_s)
        return self.bucket.wait_s(1.0)

    def link_has_capacity(self, from_region: str, to_region: str, now_s: float) -> bool:
        """Return True, since links are unlimited."""
        return True

    def charge_link(self, from_region: str, to_region: str, size: int, now_s: float) -> None:
        """Do nothing, since links are unlimited."""


def make_limited_chooser() -> TwoChoiceChooser:
    """Build a chooser with limited budgets."""
    weights, clock = FullWeights(), trio.current_time
    chooser = build_chooser(
        "a1", FakeTargetHealth(), LimitedBudgets(), weights, clock, random.Random(7)
    )
    chooser.fleet = FLEET
    return chooser


async def serve_order(fair: bool) -> list[str]:
    """Return the workspaces in serving order, for 20 requests of "large" and then 1 of "small"."""
    chooser, order = make_limited_chooser(), []
    chooser.wait_queues["records"] = WaitQueue(fair)

    async def ask(workspace: str) -> None:
        found = await chooser.choose(query(SERVICE, workspace), trio.current_time())
        if isinstance(found, Ok):
            order.append(workspace)

    async with trio.open_nursery() as nursery:
        for workspace in ("large",) * 20 + ("small",):
            nursery.start_soon(ask, workspace)
            await trio.testing.wait_all_tasks_blocked()
    return order


class TestBudgetShortage:
    """Limited budget is shared fairly between workspaces."""

    async def test_small_workspace_is_not_starved(self, autojump_clock: Any) -> None:
        """Guards against requests of a large workspace that use up all of a limited budget."""
        order = await serve_order(fair=True)
        assert "small" in order[:3]
        assert len(order) >= 5

    async def test_fifo_order_starves_small_workspace(self, autojump_clock: Any) -> None:
        """Guards against a fairness check that passes without fair ordering.

        The previous check fails if requests are served in order of arrival.
        """
        with pytest.raises(AssertionError):
            assert "small" in (await serve_order(fair=False))[:3]
