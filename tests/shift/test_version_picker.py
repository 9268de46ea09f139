"""Tests of the version picker."""

from collections import defaultdict
from typing import Any

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from steering_fakes import OK_REPORT, PLAN, FakeStore, FakeVmContext, service

from wagtailbay.allotment import EqualShares
from wagtailbay.config import Route
from wagtailbay.membership import FactTable
from wagtailbay.shift import MoveVersionPicker, SharedVersionCaps, UncappedVersions
from wagtailbay.shift.models import MovePhase, MoveState, Stop
from wagtailbay.shift.picker import MoveReader
from wagtailbay.shift.plan import begin_move
from wagtailbay.shift.stops import StopRegistry
from wagtailbay.shift.wire import encode_move

ROUTES = (Route("read", "/"), Route("search", "/search"))
SERVICE = service(version_plan=PLAN, routes=ROUTES)
STATE = begin_move(PLAN, 1000.0)


def at_step(step: int) -> MoveState:
    """Return the state of the move at a step."""
    return evolve(STATE, step=step, step_unix_s=1000.0)


def build_picker(state: Any = None, version_cap: Any = None, **fields: Any) -> MoveVersionPicker:
    """Build a picker whose replica holds a move."""
    store = FakeStore()
    if state is not None:
        store.set("moves/records", encode_move(state) if isinstance(state, MoveState) else state)
    stops = StopRegistry(FactTable("vm-1", 1))
    version_cap = version_cap or UncappedVersions()
    return MoveVersionPicker(MoveReader(store), stops, FakeVmContext(), version_cap, **fields)


def count_new_picks(picker: MoveVersionPicker, count: int = 1000, now_s: float = 0.0) -> int:
    """Pick versions at one time and return how many picks were the new version."""
    picks = (picker.pick(SERVICE, ROUTES[0], now_s).version for _ in range(count))
    return sum(version == "v2" for version in picks)


OPERATIONS = st.lists(
    st.tuples(st.integers(0, 3), st.integers(0, 1)) | st.tuples(st.integers(0, 3), st.just("step")),
    max_size=400,
)


def assert_share_not_exceeded(operations: list, round_down: bool = True) -> None:
    """Run picks and steps on several VMs; check the share for each step and in total."""
    vms = [build_picker(at_step(0), round_down=round_down) for _ in range(4)]
    steps, counts = [0] * 4, defaultdict(lambda: [0, 0])
    new_total = 0
    allowed_ppm = 0
    for vm, operation in operations:
        if operation == "step":
            steps[vm] = min(5, steps[vm] + 1)
            vms[vm].moves.lookup.set("moves/records", encode_move(at_step(steps[vm])))
            continue
        new = vms[vm].pick(SERVICE, ROUTES[operation], 0.0).version == "v2"
        share_ppm = STATE.plan.steps[steps[vm]].share_ppm
        window = counts[(vm, operation, steps[vm])]
        window[0], window[1] = window[0] + 1, window[1] + new
        new_total, allowed_ppm = new_total + new, allowed_ppm + share_ppm
        assert window[1] * 1_000_000 <= share_ppm * window[0]
        assert new_total * 1_000_000 <= allowed_ppm


class TestMoveVersionPicker:
    """Test that the new version never gets more than the share of the step."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(OPERATIONS)
    def test_share_never_exceeds_the_step(self, operations: list) -> None:
        """Guards against a sequence of picks and steps that exceeds the share."""
        assert_share_not_exceeded(operations)

    def test_share_is_exceeded_without_rounding_down(self) -> None:
        """Guards against a check of the share that passes without rounding down.

        The check above must fail if the credit is not rounded down.
        """
        assert_share_not_exceeded([(0, 0), (1, 0)])
        with pytest.raises(AssertionError):
            assert_share_not_exceeded([(0, 0), (1, 0)], round_down=False)

    def test_share_is_reached(self) -> None:
        """Guards against a new version that gets less than its whole share."""
        assert [count_new_picks(build_picker(at_step(n))) for n in range(3)] == [20, 216, 412]

    def test_lost_contact_ends_the_step(self) -> None:
        """Guards against a VM without contact that keeps using the new version.

        Such a VM may miss a rollback, so it returns to the old version. The check fails if the
        age of the contact is ignored.
        """

        def check(enforce_contact_age: bool) -> None:
            picker = build_picker(at_step(1), enforce_contact_age=enforce_contact_age)
            picker.contact.contacted_at_s = 100.0
            assert count_new_picks(picker, now_s=109.9) == 216
            assert count_new_picks(picker, now_s=110.1) == 0
            picker.contact.contacted_at_s = None
            assert count_new_picks(picker, now_s=110.1) == 0

        check(enforce_contact_age=True)
        with pytest.raises(AssertionError):
            check(enforce_contact_age=False)

    def test_stop_takes_effect_at_once(self) -> None:
        """Guards against a stop from another VM that does not apply at once.

        The check fails if stops are ignored.
        """

        def check(enforced: bool) -> None:
            picker, other = build_picker(at_step(2)), FactTable("vm-2", 1)
            picker.stops.enforced = enforced
            assert count_new_picks(picker) > 0
            stop = Stop("records", STATE.plan.move, "v2", "fails")
            StopRegistry(other).report(stop, 0.0)
            picker.stops.facts.merge(other.own(0.0))
            assert count_new_picks(picker, now_s=0.03) == 0
            # The stop still applies after its fact has expired.
            assert count_new_picks(picker, now_s=5000.0 if enforced else 0.04) == 0

        check(enforced=True)
        with pytest.raises(AssertionError):
            check(enforced=False)

    @pytest.mark.parametrize(
        ("state", "expected"),
        [
            (None, 0),
            ({"plan": 3}, 0),
            ("x", 0),
            (evolve(STATE, phase=MovePhase.ROLLED_BACK, step=3), 0),
            (evolve(STATE, phase=MovePhase.FINISHED, step=5), 100),
            (evolve(at_step(3), plan=evolve(STATE.plan, move="another")), 0),
        ],
    )
    def test_new_version_share_by_state(self, state: Any, expected: int) -> None:
        """Guards against traffic to the new version outside its move."""
        assert count_new_picks(build_picker(state), 100) == expected

    def test_cap_holds_over_the_fleet(self) -> None:
        """Guards against more than ``cap_per_s`` requests to the new version in any second.

        The check fails without the cap.
        """

        def check(version_cap: Any) -> None:
            capped = evolve(SERVICE, version_plan=evolve(PLAN, cap_per_s=100.0))
            state = evolve(begin_move(capped.version_plan, 1000.0), step=5)
            vms = [build_picker(state, version_cap()) for _ in range(4)]
            new_s = []
            for tick in range(1000):
                for picker in vms:
                    picker.contact.contacted_at_s = tick / 100
                    if picker.pick(capped, ROUTES[0], tick / 100).version == "v2":
                        new_s.append(tick / 100)
            assert max(sum(s <= t < s + 1.0 for t in new_s) for s in new_s) <= 100
            # The 34% burst is taken out of the rate, and the token buckets start empty.
            assert len(new_s) >= 650

        check(lambda: SharedVersionCaps(EqualShares(lambda: 4, 0.0)))
        with pytest.raises(AssertionError):
            check(UncappedVersions)

    @given(cap_per_s=st.floats(0.1, 50.0), gaps_s=st.lists(st.floats(0.0, 1.5), max_size=120))
    @settings(max_examples=100, deadline=None)
    def test_no_second_exceeds_the_cap(self, cap_per_s: float, gaps_s: list[float]) -> None:
        """Guards against unused tokens that add up to more than the cap in a second."""
        version_cap = SharedVersionCaps(EqualShares(lambda: 1, 0.0))
        now_s, new_s = 0.0, []
        for gap_s in gaps_s:
            now_s += gap_s
            for _ in range(8):
                if version_cap.try_acquire(SERVICE, "v2", cap_per_s, now_s):
                    new_s.append(now_s)
        for start_s in new_s:
            in_second = sum(start_s <= time_s < start_s + 0.999 for time_s in new_s)
            assert in_second <= max(1.0, cap_per_s)

    def test_changed_plan_resets_counts(self) -> None:
        """Guards against evidence of an earlier move that counts for a new one."""
        picker = build_picker(at_step(0))
        picker.record(SERVICE, ROUTES[0], "v2", OK_REPORT, 0.0)
        assert picker.recorder(SERVICE).counts_by_route()["read"].new.requests == 1
        changed = evolve(SERVICE, version_plan=evolve(PLAN, new_version="v3"))
        assert picker.recorder(changed).counts_by_route() == {}
