"""Tests of how long a request may wait for a token of its workspace's rate."""

import pytest

from wagtailbay.gateway.handler import token_wait_s


class TestTokenWait:
    """A request waits for an eighth of its latency goal, within bounds."""

    @pytest.mark.parametrize(
        ("latency_goal_ms", "deadline_ms", "wait_s"),
        [
            (4_000, None, 0.5),
            (1_061, 8_490, 0.2),
            (60_000, 30_000, 1.0),
            (1_061, 500, 0.05),
            (1_061, -5, 0.0),
        ],
    )
    def test_wait_follows_goal_and_deadline(self, latency_goal_ms, deadline_ms, wait_s):
        """Guards against holding a request that can then no longer be served in time."""
        assert token_wait_s(latency_goal_ms, deadline_ms) == pytest.approx(wait_s)
