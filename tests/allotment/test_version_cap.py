"""Tests of how much of a new version's rate cap a fleet can use."""

import pytest
import trio
import trio.testing

from wagtailbay.limits.rates import version_limit
from wagtailbay_bench.budget_trial import Scenario, run_scenario, select_evenly

SECONDS = 10.0


class TestVersionCap:
    """A substantial part of a cap is usable, regardless of its size."""

    @pytest.mark.parametrize("cap_per_s", [8.0, 20.0, 100.0])
    def test_even_demand_uses_at_least_a_third_of_cap(self, cap_per_s: float) -> None:
        """Guards against a capped rollout that gets no evidence, as no VM holds a whole token."""
        limit = version_limit(cap_per_s)
        load_factor = 2 * cap_per_s / limit.rate_per_s
        scenario = Scenario(
            "cap", select_evenly, {"new": limit}, load_factor=load_factor, duration_s=SECONDS
        )
        clock = trio.testing.MockClock(autojump_threshold=0)
        counts = trio.run(run_scenario, scenario, "design", 1, clock=clock).counts_by_workspace[
            "new"
        ]
        assert counts.sent - counts.refused >= SECONDS * cap_per_s / 3
