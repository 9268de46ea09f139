"""Test the exceptions that the checks make for VMs isolated from the store."""

import random

import pytest

from wagtailbay_bench.controls import Controls
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.network import PLATFORM, LinkFault, Network
from wagtailbay_bench.prove.checks import check_keys, check_revisions
from wagtailbay_bench.prove.context import FaultContext
from wagtailbay_bench.prove.isolation import find_isolated_vms
from wagtailbay_bench.prove.models import (
    History,
    ObservedRevision,
    SentRequest,
    StoreIsolation,
    UpdateRace,
    Withdrawal,
)
from wagtailbay_bench.prove.scenario import VM_ZONES, ZONES

VMS = frozenset(VM_ZONES)
NORTH = {vm for vm, zone in VM_ZONES.items() if ZONES[zone] == "north"}


def make_context() -> FaultContext:
    """Return a context with simulated links only and the store in the south region."""
    network = Network(ZONES, {**VM_ZONES, PLATFORM: "s1"})
    links = [(a, b) for a in VMS for b in (*VMS, PLATFORM) if a != b]
    network.routes = dict.fromkeys(links, "127.0.0.1:1")
    deployment = Deployment(None, [], {}, {}, {}, vm_addresses=dict.fromkeys(VMS, ""))
    rng = random.Random(1)
    return FaultContext(
        deployment, network, Controls(deployment), History(1), rng, None, until_s=0.0
    )


class TestFindIsolatedVms:
    """A VM has a path to the store over its own link or through connected peers."""

    def test_running_peers_provide_path(self) -> None:
        """Guards against excusing a VM that can still receive updates from a peer."""
        context = make_context()
        cut = context.network.links_between(VMS - {"vm-3"}, {PLATFORM})
        context.network.link_faults.append(LinkFault(cut, cut=True))
        assert find_isolated_vms(context) == {}
        context.frozen_vms.add("vm-3")
        assert find_isolated_vms(context) == dict.fromkeys(VMS - {"vm-3"}, True) | {"vm-3": False}

    def test_majority_side_of_partition_has_quorum(self) -> None:
        """Guards against excusing a minority, which must refuse withdrawn keys."""
        context = make_context()
        split = context.network.links_between(NORTH, VMS - NORTH | {PLATFORM})
        context.network.link_faults.append(LinkFault(split, frozen=True))
        assert find_isolated_vms(context) == dict.fromkeys(NORTH, True)
        context.offline_vms.add("vm-1")
        assert find_isolated_vms(context) == dict.fromkeys(NORTH - {"vm-1"}, False)

    def test_links_slower_than_timeouts_provide_no_path(self) -> None:
        """Guards against expecting updates over links on which every call times out."""
        context = make_context()
        context.active_store_faults["delay_ms"] = 1_500
        assert find_isolated_vms(context) == {}
        slow = context.network.links_between(VMS, {PLATFORM})
        context.network.link_faults.append(LinkFault(slow, delay_ms=300.0))
        assert find_isolated_vms(context) == dict.fromkeys(VMS, True)


class TestKeyCheck:
    """A withdrawn key may be accepted late only where design.md allows it."""

    @pytest.mark.parametrize(
        ("sent_s", "isolation", "violations"),
        [
            (15.0, None, 0),
            (17.0, None, 1),
            (17.0, StoreIsolation("vm-1", 14.0, True), 0),
            (17.0, StoreIsolation("vm-1", 14.0, False), 1),
            (17.0, StoreIsolation("vm-2", 14.0, True), 1),
            (17.0, StoreIsolation("vm-1", 10.5, True), 1),
            (26.5, StoreIsolation("vm-1", 26.0, True), 1),
        ],
    )
    def test_late_run(
        self, sent_s: float, isolation: StoreIsolation | None, violations: int
    ) -> None:
        """Guards against a check that any partition disables.

        Only an isolation of the same VM within the bound, with a possible quorum and before the
        withdrawal was in force for that long, excuses the run.
        """
        request = SentRequest(
            "1", "vm-1", "/x", "large", "large-2", "", sent_s, sent_s, 200, "", "", {}
        )
        history = History(1, requests=[request], withdrawals=[Withdrawal("large-2", 10.0, 20.0)])
        history.runs = [{"trace": "1", "workspace": "large", "unix_s": sent_s}]
        history.isolations = [isolation] if isolation else []
        assert len(list(check_keys(history))) == violations


class TestRevisionCheck:
    """An accepted revision is in force on each VM that had a path for the length of the bound."""

    @pytest.mark.parametrize(("isolated_s", "violations"), [(None, 1), (13.0, 0), (10.5, 1)])
    def test_late_revision(self, isolated_s: float | None, violations: int) -> None:
        """Guards against a check that an isolation at any earlier time disables."""
        history = History(
            1,
            observed_revisions=[ObservedRevision("vm-1", 1, 17.0, 4)],
            accepted_revisions=[(10.0, 5)],
        )
        history.isolations = [StoreIsolation("vm-1", isolated_s, True)] if isolated_s else []
        assert len(list(check_revisions(history))) == violations

    def test_only_one_concurrent_update_is_accepted(self) -> None:
        """Guards against two accepted updates of one document version."""
        assert not list(check_revisions(History(1, update_races=[UpdateRace(2, (7,), (409,))])))
        assert len(list(check_revisions(History(1, update_races=[UpdateRace(2, (7, 8), ())])))) == 1
