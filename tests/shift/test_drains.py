"""Tests of planned drains."""

import random
from typing import Any

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok
from steering_fakes import FLEET, FakeTargetHealth, query, service, target

from wagtailbay.config import Drain
from wagtailbay.shift import DrainWeights
from wagtailbay.shift.drains import drain_weight_ppm
from wagtailbay.steer import UnlimitedBudgets, build_chooser

TARGETS = tuple(target(f"{zone}-{n}", zone) for zone in ("a1", "a2", "b1") for n in range(2))
DRAIN_SCOPES = [("target", "a1-0"), ("availability_zone", "a1"), ("region", "a")]


def service_with_drain(kind: str, name: str, **fields: Any) -> Any:
    """Build a service with one drain from 100 s to 200 s."""
    return service(TARGETS, drains=(Drain(kind, name, 100.0, 200.0, **fields),))


def is_covered(kind: str, name: str, candidate: Any) -> bool:
    """Return whether a drain covers a target."""
    zone = candidate.availability_zone
    return name == {"target": candidate.target, "availability_zone": zone, "region": zone[0]}[kind]


class TestDrainWeights:
    """Test that weights drop in steps and reach 0 before the deadline."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.integers(1, 1_000_000), st.floats(0, 1e5), st.floats(1, 1e5))
    def test_weight_drops_by_at_most_one_step(
        self, max_step_ppm: int, start_s: float, length_s: float
    ) -> None:
        """Guards against a drain step that is larger than the document allows."""
        drain = Drain("target", "t", start_s, start_s + length_s, max_step_ppm)
        steps = -(-1_000_000 // max_step_ppm)
        times = [start_s + length_s * n / 40 for n in range(-1, 41)]
        weights = [drain_weight_ppm(drain, now_s) for now_s in times]
        assert weights[0] == 1_000_000
        assert weights[-1] == 0
        if steps <= 20:
            # The sampled times are closer than the steps, so at most one step lies between two.
            drops = [a - b for a, b in zip(weights, weights[1:], strict=False)]
            assert all(0 <= drop <= max_step_ppm for drop in drops)
        assert weights == sorted(weights, reverse=True)

    @pytest.mark.parametrize("scope", DRAIN_SCOPES)
    def test_drained_targets_get_no_requests(self, scope: tuple[str, str]) -> None:
        """Guards against drained targets that still get requests.

        The check fails with drains disabled.
        """

        def check(enabled: bool) -> None:
            document = service_with_drain(*scope, max_step_ppm=250_000)
            now = [0.0]
            weights = DrainWeights(lambda: FLEET, lambda: now[0], enabled)
            budgets, source = UnlimitedBudgets(), random.Random(3)
            chooser = build_chooser(
                "a1", FakeTargetHealth(), budgets, weights, trio.current_time, source
            )
            chooser.fleet = FLEET
            shares = []
            for now[0] in (50.0, 100.0, 130.0, 160.0, 180.0, 300.0):
                choices = [chooser.choose_now(query(document), now[0]) for _ in range(200)]
                assert all(isinstance(choice, Ok) for choice in choices)
                covered = sum(is_covered(*scope, choice.ok_value.target) for choice in choices)
                shares.append(covered / 200)
            assert shares[0] > 0.3
            assert shares[-2:] == [0.0, 0.0]
            assert all(b <= a + 0.1 for a, b in zip(shares, shares[1:], strict=False))

        check(enabled=True)
        with pytest.raises(AssertionError):
            check(enabled=False)
