"""Test how much of a new version's cap a fleet can use."""

import pytest
import trio
import trio.testing

from wagtailbay.limits.rates import version_limit
from wagtailbay_bench.budget_trial import Scenario, even, run_scenario

SECONDS = 10.0


class TestVersionCap:
    """A cap is used to a good part, whatever its size."""

    @pytest.mark.parametrize("cap_per_s", [8.0, 20.0, 100.0])
    def test_even_demand_uses_at_least_a_third_of_cap(self, cap_per_s: float) -> None:
        """Guards against a capped move that gets no evidence, since each VM holds no token."""
        limit = version_limit(cap_per_s)
        load = 2 * cap_per_s / limit.rate_per_s
        scenario = Scenario("cap", even, {"new": limit}, load=load, seconds=SECONDS)
        clock = trio.testing.MockClock(autojump_threshold=0)
        tally = trio.run(run_scenario, scenario, "design", 1, clock=clock).tallies["new"]
        assert tally.sent - tally.refused >= SECONDS * cap_per_s / 3
