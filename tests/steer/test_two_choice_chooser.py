"""Tests for the two-choice chooser."""

import random
from collections import Counter
from typing import Any

import pytest
import trio
from attrs import define, evolve, field
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok
from steering_fakes import FLEET, FakeTargetHealth, query, service, target

from wagtailbay.health import FailureReason, OutlierDetector, TargetState, TargetView
from wagtailbay.steer import (
    AttemptOutcome,
    AttemptReport,
    FullWeights,
    TwoChoiceChooser,
    UnlimitedBudgets,
    build_chooser,
)

TARGETS = tuple(target(f"{zone}-{n}", zone) for zone in ("a1", "a2", "b1") for n in range(3))
NAMES = [t.target for t in TARGETS]
SERVICE = service(TARGETS)
FAILED, DRAINING = TargetView(TargetState.FAILED), TargetView(TargetState.DRAINING)
SHED = AttemptReport(AttemptOutcome.SHED, 503, 1.0)
ANSWERED = AttemptReport(AttemptOutcome.ANSWERED, 200, 5.0, response_bytes=1000)


@define
class FakeBudgets:
    """Budgets set by a test, with a record of the budget taken and charged."""

    regions: set[str] = field(factory=lambda: {"a", "b"})
    links: bool = True
    taken: list[tuple[str, float]] = field(factory=list)
    charged: list[tuple[str, str, int]] = field(factory=list)
    callbacks: list[Any] = field(factory=list)

    def take_region_budget(
        self, service: Any, region: str, now_s: float, healthy_fraction=1.0
    ) -> bool:
        """Take budget and return whether the region has any."""
        if region in self.regions:
            self.taken.append((region, healthy_fraction))
        return region in self.regions

    def subscribe(self, service: Any, region: str, now_s: float, callback: Any) -> Any:
        """Store the callback, which a test calls when it adds budget."""
        self.callbacks.append(callback)
        return lambda: self.callbacks.remove(callback)

    def wait_s(self, service: Any, region: str, now_s: float) -> float:
        """Return infinity, since budget is not refilled over time."""
        return float("inf")

    def link_has_capacity(self, from_region: str, to_region: str, now_s: float) -> bool:
        """Return whether links have capacity, as set by the test."""
        return self.links

    def charge_link(self, from_region: str, to_region: str, size: int, now_s: float) -> None:
        """Record the charge."""
        self.charged.append((from_region, to_region, size))


def make_chooser(
    target_health: FakeTargetHealth | None = None, budgets: Any = None
) -> TwoChoiceChooser:
    """Build a chooser for a VM in availability zone a1."""
    budgets = budgets or UnlimitedBudgets()
    weights, clock = FullWeights(), trio.current_time
    chooser = build_chooser(
        "a1", target_health or FakeTargetHealth(), budgets, weights, clock, random.Random(7)
    )
    chooser.fleet = FLEET
    return chooser


def count_choices(chooser: TwoChoiceChooser, count: int = 200, now_s: float = 0.0) -> Counter:
    """Choose targets for requests and count how often each is chosen."""
    found = (chooser.choose_now(query(SERVICE), now_s) for _ in range(count))
    return Counter(f.ok_value.target.target for f in found if isinstance(f, Ok))


class TestTwoChoiceChooser:
    """Requests go to nearby, lightly loaded and healthy targets."""

    def test_local_zone_is_preferred(self) -> None:
        """Guards against requests that cross zones while the local zone has capacity."""
        assert set(count_choices(make_chooser())) == {"a1-0", "a1-1", "a1-2"}

    def test_full_zone_falls_back_to_region(self) -> None:
        """Guards against requests that queue in one zone while its region has free slots."""
        busy = TargetView(TargetState.OK, in_flight=9.0)
        found = count_choices(make_chooser(FakeTargetHealth({f"a1-{n}": busy for n in range(3)})))
        assert set(found) == {"a2-0", "a2-1", "a2-2"}

    def test_loaded_target_gets_fewer_requests(self) -> None:
        """Guards against a choice that ignores the reported load of a target."""
        target_health = FakeTargetHealth({"a1-0": TargetView(TargetState.OK, in_flight=3.0)})
        assert count_choices(make_chooser(target_health), 600)["a1-0"] < 100

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(
        st.dictionaries(st.sampled_from(NAMES), st.sampled_from([FAILED, DRAINING])),
        st.sets(st.sampled_from(NAMES)),
    )
    def test_unhealthy_targets_get_no_requests(self, views: dict, ejected: set[str]) -> None:
        """Guards against requests sent to ejected, failed or draining targets.

        Such targets get no requests while another target is usable.
        """
        assert_only_healthy_chosen(make_chooser(FakeTargetHealth(views)), views, ejected)

    def test_unhealthy_targets_get_requests_with_checks_disabled(self) -> None:
        """Guards against a check of chosen targets that passes without ejections or drains.

        The previous check fails if ejections or drains are ignored.
        """
        for switch, views in (("eject", {"a1-0": FAILED}), ("drain", {"a1-0": DRAINING})):
            chooser = make_chooser(FakeTargetHealth(views))
            assert_only_healthy_chosen(chooser, views, set())
            setattr(chooser.finder, switch, False)
            with pytest.raises(AssertionError):
                assert_only_healthy_chosen(chooser, views, set())

    def test_failed_but_not_draining_targets_are_last_resort(self) -> None:
        """Guards against wrong health responses that stop a whole service.

        Failed targets are used as a last resort; draining targets stay excluded.
        """
        views = dict.fromkeys(NAMES, FAILED) | {"a1-0": DRAINING}
        found = count_choices(make_chooser(FakeTargetHealth(views)))
        assert found
        assert "a1-0" not in found
        assert not count_choices(make_chooser(FakeTargetHealth(dict.fromkeys(NAMES, DRAINING))))

    def test_sheds_override_idle_report(self) -> None:
        """Guards against a full target that reports no load and keeps getting requests.

        It gets few requests. The check fails if reports are trusted.
        """

        def check(correct_reports: bool) -> None:
            target_health = FakeTargetHealth({"a1-0": TargetView(TargetState.OK, 0.0, 4, 0.0)})
            chooser = make_chooser(target_health)
            chooser.finder.load_estimator.correct_reports = correct_reports
            assignment = next(
                found.ok_value
                for found in iter(lambda: chooser.choose_now(query(SERVICE), 0.0), None)
                if found.ok_value.target.target == "a1-0"
            )
            for _ in range(2):
                chooser.finish(query(SERVICE), assignment, SHED, 0.0)
            assert count_choices(chooser, 300, 0.1)["a1-0"] < 30

        check(correct_reports=True)
        with pytest.raises(AssertionError):
            check(correct_reports=False)

    def test_slow_responses_override_idle_report(self) -> None:
        """Guards against a slow target that reports no load and keeps getting requests.

        It gets few requests. The check fails if latency is ignored.
        """

        def check(enabled: bool) -> None:
            chooser = make_chooser(
                FakeTargetHealth({"a1-0": TargetView(TargetState.OK, 0.0, 4, 0.0)})
            )
            chooser.finder.latency_tracker.enabled = enabled
            for _ in range(10):
                for name in NAMES:
                    latency_ms = 100.0 if name == "a1-0" else 5.0
                    chooser.finder.latency_tracker.record("records", name, latency_ms, 0.0)
            assert count_choices(chooser, 300)["a1-0"] < 30

        check(enabled=True)
        with pytest.raises(AssertionError):
            check(enabled=False)

    def test_lost_home_region_spills_until_recovered(self) -> None:
        """Guards against requests that flap between regions.

        The check fails without hysteresis.
        """

        def check(hysteresis: bool) -> None:
            target_health, budgets = (
                FakeTargetHealth({n: FAILED for n in NAMES if n[0] == "a"}),
                FakeBudgets(),
            )
            chooser = make_chooser(target_health, budgets)
            chooser.spillover.hysteresis = hysteresis
            assert {name[0] for name in count_choices(chooser, 20, 1.0)} == {"b"}
            target_health.views.clear()
            for now_s in (2.0, 4.0, 6.9):
                assert {name[0] for name in count_choices(chooser, 20, now_s)} == {"b"}
            assert {name[0] for name in count_choices(chooser, 20, 7.1)} == {"a"}
            # Slow start since 2.0 s: 10% plus 10 percentage points per second.
            assert budgets.taken[-1] == ("a", pytest.approx(0.61))

        check(hysteresis=True)
        with pytest.raises(AssertionError):
            check(hysteresis=False)

    def test_spillover_respects_budget_and_link_capacity(self) -> None:
        """Guards against missing spillover without home budget, or spillover on a full link.

        Requests spill over if the home region has no budget, but not across a full link.
        """
        budgets = FakeBudgets({"b"})
        chooser = make_chooser(budgets=budgets)
        assignment = chooser.choose_now(query(SERVICE), 0.0).ok_value
        assert (assignment.region, assignment.spilled) == ("b", True)
        chooser.finish(query(SERVICE), assignment, ANSWERED, 0.0)
        assert budgets.charged == [("b", "a", 1000)]
        budgets.links = False
        assert isinstance(chooser.choose_now(query(SERVICE), 0.0), Err)

    def test_budget_scales_with_healthy_slots(self) -> None:
        """Guards against budget that includes capacity of failed and draining targets.

        It must exclude the documented capacity of these targets.
        """
        budgets = FakeBudgets()
        count_choices(
            make_chooser(
                FakeTargetHealth({"a1-0": FAILED, "a2-0": FAILED, "a2-1": DRAINING}), budgets
            ),
            1,
        )
        assert budgets.taken == [("a", pytest.approx(0.5))]

    async def test_waits_for_busy_targets(self, autojump_clock: Any) -> None:
        """Guards against a request that doesn't wait for a busy target to become free.

        The check fails without waiting.
        """

        async def check(wait_enabled: bool) -> float:
            one = service((target("a1-0", slots=1),))
            chooser = make_chooser()
            chooser.wait_enabled = wait_enabled
            first = (await chooser.choose(query(one), trio.current_time())).ok_value
            start_s = trio.current_time()

            async def end_first() -> None:
                await trio.sleep(0.05)
                chooser.finish(query(one), first, ANSWERED, trio.current_time())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(end_first)
                await chooser.choose(query(one), trio.current_time())
                waited_s = trio.current_time() - start_s
            assert waited_s == pytest.approx(0.05)
            return waited_s

        await check(wait_enabled=True)
        with pytest.raises(AssertionError):
            await check(wait_enabled=False)

    async def test_added_budget_ends_wait(self, autojump_clock: Any) -> None:
        """Guards against borrowed budget that wakes a request only at its next poll."""
        budgets = FakeBudgets(set())
        chooser = make_chooser(budgets=budgets)

        async def lend() -> None:
            await trio.sleep(0.003)
            budgets.regions.add("a")
            for callback in tuple(budgets.callbacks):
                callback()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(lend)
            found = await chooser.choose(query(SERVICE), trio.current_time())
        assert isinstance(found, Ok)
        assert trio.current_time() == pytest.approx(0.003)
        assert not budgets.callbacks

    async def test_wait_is_bounded(self, autojump_clock: Any) -> None:
        """Guards against requests that hang while no region has budget."""
        chooser = make_chooser(budgets=FakeBudgets(set()))
        found = await chooser.choose(query(SERVICE), trio.current_time())
        assert found.err_value.code == "no_budget"
        assert trio.current_time() == pytest.approx(0.2, abs=0.03)


def assert_only_healthy_chosen(chooser: TwoChoiceChooser, views: dict, ejected: set[str]) -> None:
    """Assert that only healthy targets are chosen if there are any, and never a draining one."""
    chooser.finder.outliers = OutlierDetector(limit_ejections=False)
    for name in ejected:
        for _ in range(3):
            chooser.finder.outliers.record_failure(
                "records", name, FailureReason.CONNECT, frozenset(NAMES), 0.0
            )
    unfit = ejected | set(views)
    found = set(count_choices(chooser, 60))
    assert not {n for n in found if views.get(n) is DRAINING}
    if unfit != set(NAMES):
        assert found
        assert not found & unfit


class TestDrainedTargets:
    """Drain weights lower the share of drained targets and regions."""

    @pytest.mark.parametrize("weight_ppm", [0, 250_000, 500_000])
    def test_region_share_matches_its_weight(self, weight_ppm: int) -> None:
        """Guards against a drained region that loses traffic only at the end of the drain.

        It must lose traffic gradually.
        """

        class Weights:
            def weight_ppm(self, service: Any, target: Any, now_s: float) -> int:
                return weight_ppm if target.availability_zone[0] == "a" else 1_000_000

        chooser = make_chooser()
        chooser.finder.weights = Weights()
        found = count_choices(chooser, 400)
        home = sum(count for name, count in found.items() if name[0] == "a")
        assert home == 400 * weight_ppm // 1_000_000

    def test_target_share_falls_with_its_weight(self) -> None:
        """Guards against a drain step that doesn't lower the traffic of the target.

        Each drain step must lower it.
        """

        class Weights:
            def weight_ppm(self, service: Any, target: Any, now_s: float) -> int:
                return 200_000 if target.target == "a1-0" else 1_000_000

        chooser = make_chooser()
        chooser.finder.weights = Weights()
        assert count_choices(chooser, 1000)["a1-0"] < 1000 / 3 * 0.6


class TestVersions:
    """Requests only reach the version in their query."""

    def test_only_requested_version_is_used(self) -> None:
        """Guards against a request that reaches a version that was not selected for it."""
        mixed = service((*TARGETS[:3], evolve(target("new", "b1"), version="v2")))
        for version, expected in (("v2", {"new"}), ("v1", {"a1-0", "a1-1", "a1-2"})):
            found = {
                make_chooser().choose_now(query(mixed, version=version), 0.0).ok_value.target.target
                for _ in range(20)
            }
            assert found <= expected
        assert isinstance(make_chooser().choose_now(query(mixed, version="v3"), 0.0), Err)
