"""Tests of ledger planning and encoding."""

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from wagtailbay.allotment import Grant, Ledger, PlanInputs, VmIncarnation, plan_ledger
from wagtailbay.allotment.const import LEDGER_TOTAL_PPM
from wagtailbay.allotment.wire import decode_ledger, encode_ledger
from wagtailbay.limits import BudgetLimit

BUDGET = "workspace:records/unam"
ONE, TWO, THREE = VmIncarnation("vm-1", 1), VmIncarnation("vm-2", 1), VmIncarnation("vm-3", 1)


def make_inputs(**changes) -> PlanInputs:
    """Return plan inputs for two active VMs with equal demand."""
    values = {
        "limits": {BUDGET: BudgetLimit(100.0, 1000.0)},
        "active_vms": (ONE, TWO),
        "removed_vms": frozenset(),
        "demand": {BUDGET: {ONE: 10.0, TWO: 10.0}},
        "applied_versions": {},
        "release_at_s": {},
        "floor_ppm": 10_000,
    }
    return PlanInputs(**(values | changes))


class TestPlanLedger:
    """A plan reassigns only released shares and never grants more than the total."""

    def test_share_is_reassigned_only_after_confirmation(self) -> None:
        """Guards against granting a share that another VM may still use."""
        ledger = Ledger({BUDGET: {ONE: Grant(LEDGER_TOTAL_PPM, LEDGER_TOTAL_PPM)}})
        first = plan_ledger(ledger, 5, make_inputs(), 0.0)
        assert first.grant(BUDGET, ONE) == Grant(
            450_000, LEDGER_TOTAL_PPM, decreased_from_version=5
        )
        assert first.grant(BUDGET, TWO) == Grant(0, 0)
        assert plan_ledger(first, 6, make_inputs(applied_versions={ONE: 5}), 0.0) == first
        second = plan_ledger(first, 6, make_inputs(applied_versions={ONE: 6}), 0.0)
        assert second.grant(BUDGET, ONE).held_ppm == 450_000
        assert second.grant(BUDGET, TWO).granted_ppm == 450_000

    def test_ended_vm_keeps_share_until_release_time(self) -> None:
        """Guards against reclaiming a share while loans of its ended VM are still active."""
        ledger = Ledger({BUDGET: {THREE: Grant(LEDGER_TOTAL_PPM, LEDGER_TOTAL_PPM)}})
        inputs = make_inputs(removed_vms=frozenset({THREE}), release_at_s={THREE: 8.0})
        assert plan_ledger(ledger, 1, inputs, 7.9).grant(BUDGET, THREE).held_ppm == LEDGER_TOTAL_PPM
        assert plan_ledger(ledger, 1, inputs, 8.0).grant(BUDGET, THREE).held_ppm == 0

    def test_unresponsive_vm_keeps_share(self) -> None:
        """Guards against taking the shares of a region that is only partitioned."""
        ledger = Ledger({BUDGET: {THREE: Grant(300_000, 300_000)}})
        planned = plan_ledger(ledger, 1, make_inputs(), 0.0)
        assert planned.grant(BUDGET, THREE) == Grant(300_000, 300_000)
        assert planned.grant(BUDGET, ONE).granted_ppm == 300_000

    def test_small_budget_is_granted_to_one_vm(self) -> None:
        """Guards against shares of less than one token, which can never admit a request."""
        inputs = make_inputs(limits={BUDGET: BudgetLimit(1.0, 1.0)})
        planned = plan_ledger(Ledger(), 0, inputs, 0.0)
        grants = [planned.grant(BUDGET, holder).granted_ppm for holder in (ONE, TWO)]
        assert sorted(grants) == [0, LEDGER_TOTAL_PPM]


class TestLedgerCodec:
    """Decoding any value yields a ledger or an error value."""

    def test_round_trip(self) -> None:
        """Guards against a field that is lost in encoding."""
        ledger = Ledger({BUDGET: {ONE: Grant(5, 7, 3), TWO: Grant(0, 9)}})
        assert decode_ledger(encode_ledger(ledger)).ok_value == ledger

    @pytest.mark.parametrize(
        "row",
        [
            ["vm-1", 1, 2, 1, 0],
            ["vm-1", 1, -1, 1, 0],
            ["vm-1", 1, True, 1, 0],
            ["vm-1", 1, 1, 900_001, 0],
            [7, 1, 1, 1, 0],
            ["vm-1", 1, 1, 1],
            {"vm": "vm-1"},
        ],
    )
    def test_rejects_malformed_grants(self, row) -> None:
        """Guards against applying a malformed grant."""
        value = {"schema_version": 1, "budgets": {BUDGET: [row]}}
        assert decode_ledger(value).is_err()

    def test_rejects_grants_above_ledger_total(self) -> None:
        """Guards against over-granting by a manually edited ledger."""
        rows = [["vm-1", 1, 0, 500_000, 0], ["vm-2", 1, 0, 500_000, 0]]
        assert decode_ledger({"schema_version": 1, "budgets": {BUDGET: rows}}).is_err()

    @settings(derandomize=True, max_examples=100, database=None)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=3),
            lambda inner: st.lists(inner, max_size=5)
            | st.dictionaries(st.sampled_from(["schema_version", "budgets", "b"]), inner),
        )
    )
    def test_decoding_never_raises(self, value) -> None:
        """Guards against a malformed object that crashes the process."""
        decode_ledger(value)
