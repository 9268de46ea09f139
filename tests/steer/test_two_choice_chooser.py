"""Test the choice of targets."""

import random
from collections import Counter
from typing import Any

import pytest
import trio
from attrs import define, evolve, field
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok
from steering_fakes import FLEET, FakeStates, query, service, target

from wagtailbay.health import FailureSign, OutlierDetector, TargetState, TargetView
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
    """Hold the regions and links that have budget, and what was asked for."""

    regions: set[str] = field(factory=lambda: {"a", "b"})
    links: bool = True
    taken: list[tuple[str, float]] = field(factory=list)
    charged: list[tuple[str, str, int]] = field(factory=list)
    callbacks: list[Any] = field(factory=list)

    def take_region_budget(
        self, service: Any, region: str, now_s: float, healthy_fraction=1.0
    ) -> bool:
        """Take budget where a test left some."""
        if region in self.regions:
            self.taken.append((region, healthy_fraction))
        return region in self.regions

    def subscribe(self, service: Any, region: str, now_s: float, callback: Any) -> Any:
        """Keep the callback, which a test calls when it adds budget."""
        self.callbacks.append(callback)
        return lambda: self.callbacks.remove(callback)

    def wait_s(self, service: Any, region: str, now_s: float) -> float:
        """Tell that time alone brings nothing."""
        return float("inf")

    def link_has_capacity(self, from_region: str, to_region: str, now_s: float) -> bool:
        """Tell what the test set."""
        return self.links

    def charge_link(self, from_region: str, to_region: str, size: int, now_s: float) -> None:
        """Record a charge."""
        self.charged.append((from_region, to_region, size))


def make_chooser(states: FakeStates | None = None, budgets: Any = None) -> TwoChoiceChooser:
    """Build the chooser of a VM in availability zone a1."""
    budgets = budgets or UnlimitedBudgets()
    weights, clock = FullWeights(), trio.current_time
    chooser = build_chooser("a1", states or FakeStates(), budgets, weights, clock, random.Random(7))
    chooser.fleet = FLEET
    return chooser


def count_choices(chooser: TwoChoiceChooser, count: int = 200, now_s: float = 0.0) -> Counter:
    """Choose for requests that end at once; counts the targets."""
    found = (chooser.choose_now(query(SERVICE), now_s) for _ in range(count))
    return Counter(f.ok_value.target.target for f in found if isinstance(f, Ok))


class TestTwoChoiceChooser:
    """Requests go to near targets with little load, never to unfit ones."""

    def test_local_zone_is_preferred(self) -> None:
        """Guards against needless traffic between zones."""
        assert set(count_choices(make_chooser())) == {"a1-0", "a1-1", "a1-2"}

    def test_full_zone_falls_back_to_region(self) -> None:
        """Guards against queues in one zone while the region has free slots."""
        busy = TargetView(TargetState.OK, in_flight=9.0)
        found = count_choices(make_chooser(FakeStates({f"a1-{n}": busy for n in range(3)})))
        assert set(found) == {"a2-0", "a2-1", "a2-2"}

    def test_loaded_target_gets_fewer_requests(self) -> None:
        """Guards against a choice that ignores reports."""
        states = FakeStates({"a1-0": TargetView(TargetState.OK, in_flight=3.0)})
        assert count_choices(make_chooser(states), 600)["a1-0"] < 100

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(
        st.dictionaries(st.sampled_from(NAMES), st.sampled_from([FAILED, DRAINING])),
        st.sets(st.sampled_from(NAMES)),
    )
    def test_unhealthy_targets_get_no_requests(self, views: dict, ejected: set[str]) -> None:
        """Guards against work for ejected, failed or draining targets while another is usable."""
        assert_only_healthy_chosen(make_chooser(FakeStates(views)), views, ejected)

    def test_unhealthy_targets_get_requests_with_checks_disabled(self) -> None:
        """Shows that the check above depends on ejection and on drains."""
        for switch, views in (("eject", {"a1-0": FAILED}), ("drain", {"a1-0": DRAINING})):
            chooser = make_chooser(FakeStates(views))
            assert_only_healthy_chosen(chooser, views, set())
            setattr(chooser.finder, switch, False)
            with pytest.raises(AssertionError):
                assert_only_healthy_chosen(chooser, views, set())

    def test_failed_but_not_draining_targets_are_last_resort(self) -> None:
        """Guards against lying health endpoints that stop a whole service."""
        views = dict.fromkeys(NAMES, FAILED) | {"a1-0": DRAINING}
        found = count_choices(make_chooser(FakeStates(views)))
        assert found
        assert "a1-0" not in found
        assert not count_choices(make_chooser(FakeStates(dict.fromkeys(NAMES, DRAINING))))

    def test_sheds_override_idle_report(self) -> None:
        """Guards against a full target that reports itself idle; fails if reports are believed."""

        def check(correct_reports: bool) -> None:
            states = FakeStates({"a1-0": TargetView(TargetState.OK, 0.0, 4, 0.0)})
            chooser = make_chooser(states)
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
        """Guards against a slow target that reports itself idle; fails if latency is ignored."""

        def check(enabled: bool) -> None:
            chooser = make_chooser(FakeStates({"a1-0": TargetView(TargetState.OK, 0.0, 4, 0.0)}))
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
        """Guards against flapping between regions; fails without the hysteresis."""

        def check(hysteresis: bool) -> None:
            states, budgets = FakeStates({n: FAILED for n in NAMES if n[0] == "a"}), FakeBudgets()
            chooser = make_chooser(states, budgets)
            chooser.spillover.hysteresis = hysteresis
            assert {name[0] for name in count_choices(chooser, 20, 1.0)} == {"b"}
            states.views.clear()
            for now_s in (2.0, 4.0, 6.9):
                assert {name[0] for name in count_choices(chooser, 20, now_s)} == {"b"}
            assert {name[0] for name in count_choices(chooser, 20, 7.1)} == {"a"}
            # Slow start since 2.0: 10% and 10 points a second.
            assert budgets.taken[-1] == ("a", pytest.approx(0.61))

        check(hysteresis=True)
        with pytest.raises(AssertionError):
            check(hysteresis=False)

    def test_spillover_respects_budget_and_link_capacity(self) -> None:
        """Guards against an overloaded region, and against spill over a full link."""
        budgets = FakeBudgets({"b"})
        chooser = make_chooser(budgets=budgets)
        assignment = chooser.choose_now(query(SERVICE), 0.0).ok_value
        assert (assignment.region, assignment.spilled) == ("b", True)
        chooser.finish(query(SERVICE), assignment, ANSWERED, 0.0)
        assert budgets.charged == [("b", "a", 1000)]
        budgets.links = False
        assert isinstance(chooser.choose_now(query(SERVICE), 0.0), Err)

    def test_budget_scales_with_healthy_slots(self) -> None:
        """Guards against documented capacity that failed targets no longer have."""
        budgets = FakeBudgets()
        count_choices(
            make_chooser(FakeStates({"a1-0": FAILED, "a2-0": FAILED, "a2-1": DRAINING}), budgets), 1
        )
        assert budgets.taken == [("a", pytest.approx(0.5))]

    async def test_waits_for_busy_targets(self, autojump_clock: Any) -> None:
        """Guards against overload while a target is about to become free; fails without waits."""

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
        """Guards against requests that look for borrowed budget only at the next tick."""
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
    """Check that only fit targets are picked while there is one, and never a draining one."""
    chooser.finder.outliers = OutlierDetector(keep_one=False)
    for name in ejected:
        for _ in range(3):
            chooser.finder.outliers.record_failure(
                "records", name, FailureSign.CONNECT, frozenset(NAMES), 0.0
            )
    unfit = ejected | set(views)
    found = set(count_choices(chooser, 60))
    assert not {n for n in found if views.get(n) is DRAINING}
    if unfit != set(NAMES):
        assert found
        assert not found & unfit


class TestDrainedTargets:
    """Weights lower the share of what is drained, in a region and between regions."""

    @pytest.mark.parametrize("weight_ppm", [0, 250_000, 500_000])
    def test_region_share_matches_its_weight(self, weight_ppm: int) -> None:
        """Guards against a drained region that keeps all traffic until the end."""

        class Weights:
            def weight_ppm(self, service: Any, target: Any, now_s: float) -> int:
                return weight_ppm if target.availability_zone[0] == "a" else 1_000_000

        chooser = make_chooser()
        chooser.finder.weights = Weights()
        found = count_choices(chooser, 400)
        home = sum(count for name, count in found.items() if name[0] == "a")
        assert home == 400 * weight_ppm // 1_000_000

    def test_target_share_falls_with_its_weight(self) -> None:
        """Guards against a step that lowers nothing."""

        class Weights:
            def weight_ppm(self, service: Any, target: Any, now_s: float) -> int:
                return 200_000 if target.target == "a1-0" else 1_000_000

        chooser = make_chooser()
        chooser.finder.weights = Weights()
        assert count_choices(chooser, 1000)["a1-0"] < 1000 / 3 * 0.6


class TestVersions:
    """A version in the query is kept."""

    def test_only_requested_version_is_used(self) -> None:
        """Guards against requests that reach a version that was not picked."""
        mixed = service((*TARGETS[:3], evolve(target("new", "b1"), version="v2")))
        for version, expected in (("v2", {"new"}), ("v1", {"a1-0", "a1-1", "a1-2"})):
            found = {
                make_chooser().choose_now(query(mixed, version=version), 0.0).ok_value.target.target
                for _ in range(20)
            }
            assert found <= expected
        assert isinstance(make_chooser().choose_now(query(mixed, version="v3"), 0.0), Err)
