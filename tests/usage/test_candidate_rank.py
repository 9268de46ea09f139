"""Tests of which VMs contend for the duty, and of who gets their counts."""

from types import SimpleNamespace

import pytest

from wagtailbay.membership import FactTable, VmState
from wagtailbay.membership.layout import build_layout
from wagtailbay.programs.gateway_usage import duty_rank
from wagtailbay.usage.const import MAX_CANDIDATES, USAGE_KIND, USAGE_LEASE_KIND
from wagtailbay.usage.models import HeldLease, WindowUsage

ZONES = {f"vm-{number:02}": f"z{number % 3}" for number in range(30)}
STRONG = frozenset(sorted(ZONES)[:6])


def view(zones: dict[str, str], strong: frozenset[str], state: VmState = VmState.LIVE):
    """Return a view of a fleet in which all VMs are live."""
    layout = build_layout(zones, zones, strong)
    return SimpleNamespace(
        fleet=SimpleNamespace(roster=SimpleNamespace(own_member=SimpleNamespace(state=state))),
        layout=lambda: layout,
        live_vms=lambda: list(zones),
        serving_vms=lambda: strong or frozenset(zones),
    )


class TestDutyRank:
    """A few strong VMs that hear of the whole fleet contend, in one order."""

    @pytest.mark.parametrize("strong", [STRONG, frozenset()])
    def test_few_candidates_in_a_divided_fleet(self, strong: frozenset[str]) -> None:
        """Guards against many VMs that read the record at once."""
        fleet_view = view(ZONES, strong)
        ranks = {vm: duty_rank(fleet_view, vm) for vm in ZONES}
        candidates = {vm for vm, rank in ranks.items() if rank is not None and rank < 3}
        assert sorted(ranks[vm] for vm in candidates) == [0, 1, 2]
        assert all(fleet_view.layout().delegate_rank(vm) == 0 for vm in candidates)
        assert not strong or candidates <= strong

    def test_other_vms_of_a_small_fleet_do_not_contend(self) -> None:
        """Guards against weak VMs that all have the rank behind a single strong one."""
        zones = dict(list(ZONES.items())[:5])
        strong = frozenset({"vm-00"})
        ranks = [duty_rank(view(zones, strong), vm) for vm in zones]
        assert ranks[0] == 0
        assert ranks[1:] == [MAX_CANDIDATES] * 4

    def test_leaving_vm_gives_the_duty_up(self) -> None:
        """Guards against a holder whose process ends while it still seems to hold the lease."""
        assert duty_rank(view(ZONES, STRONG, VmState.LEAVING), "vm-00") is None


class TestDelegateFacts:
    """Counts go to the VMs that add them up only."""

    def test_only_delegates_get_counts(self) -> None:
        """Guards against the counts of all workspaces in the messages to every VM of a cell."""
        facts = FactTable("vm-1", 1)
        usage = WindowUsage(1, 1, True, {"a": 1})
        facts.publish(USAGE_KIND, "1/r", usage, ttl_ms=1_000, now_s=0.0)
        facts.publish(USAGE_LEASE_KIND, "", HeldLease(1, 1), ttl_ms=1_000, now_s=0.0)
        to_delegate = facts.batch_after(0, 0.0)
        to_other = facts.batch_after(0, 0.0, to_delegate=False)
        assert {fact.kind for fact in to_delegate.facts} == {USAGE_KIND, USAGE_LEASE_KIND}
        assert {fact.kind for fact in to_other.facts} == {USAGE_LEASE_KIND}
        assert to_other.through_position == to_delegate.through_position
