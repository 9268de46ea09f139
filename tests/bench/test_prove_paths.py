"""Test what the proofs allow to VMs that are cut off from the store."""

import random

import pytest

from wagtailbay_bench.controls import Controls
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.network import PLATFORM, LinkFault, Network
from wagtailbay_bench.prove.checks import check_keys, check_revisions
from wagtailbay_bench.prove.context import FaultContext
from wagtailbay_bench.prove.models import (
    Apart,
    History,
    Race,
    RevisionRead,
    SentRequest,
    Withdrawal,
)
from wagtailbay_bench.prove.reach import find_apart
from wagtailbay_bench.prove.scene import VM_ZONES, ZONES

VMS = frozenset(VM_ZONES)
NORTH = {vm for vm, zone in VM_ZONES.items() if ZONES[zone] == "north"}


def context() -> FaultContext:
    """Return a context whose links exist in the model only; the store is in the south."""
    network = Network(ZONES, {**VM_ZONES, PLATFORM: "s1"})
    ways = [(a, b) for a in VMS for b in (*VMS, PLATFORM) if a != b]
    network.routes = dict.fromkeys(ways, "127.0.0.1:1")
    deployment = Deployment(None, [], {}, {}, {}, vm_addresses=dict.fromkeys(VMS, ""))
    source = random.Random(1)
    return FaultContext(
        deployment, network, Controls(deployment), History(1), source, None, until_s=0.0
    )


class TestFindApart:
    """A VM has a path to the store by its own link or by peers that have one."""

    def test_peers_that_stand_are_a_path(self) -> None:
        """Guards against excusing a VM that could learn everything from a peer."""
        found = context()
        cut = found.network.links_between(VMS - {"vm-3"}, {PLATFORM})
        found.network.link_faults.append(LinkFault(cut, cut=True))
        assert find_apart(found) == {}
        found.frozen.add("vm-3")
        assert find_apart(found) == dict.fromkeys(VMS - {"vm-3"}, True) | {"vm-3": False}

    def test_one_side_of_a_split_may_have_a_quorum(self) -> None:
        """Guards against excusing keys that a minority must refuse."""
        found = context()
        split = found.network.links_between(NORTH, VMS - NORTH | {PLATFORM})
        found.network.link_faults.append(LinkFault(split, frozen=True))
        assert find_apart(found) == dict.fromkeys(NORTH, True)
        found.silent.add("vm-1")
        assert find_apart(found) == dict.fromkeys(NORTH - {"vm-1"}, False)

    def test_links_slower_than_the_timeouts_are_no_path(self) -> None:
        """Guards against asking for what calls that always time out cannot bring."""
        found = context()
        found.store_faults["delay_ms"] = 1_500
        assert find_apart(found) == {}
        slow = found.network.links_between(VMS, {PLATFORM})
        found.network.link_faults.append(LinkFault(slow, delay_ms=300.0))
        assert find_apart(found) == dict.fromkeys(VMS, True)


class TestKeyCheck:
    """A withdrawn key may run late only where design.md allows it."""

    @pytest.mark.parametrize(
        ("sent_s", "apart", "violations"),
        [
            (15.0, None, 0),
            (17.0, None, 1),
            (17.0, Apart("vm-1", 14.0, True), 0),
            (17.0, Apart("vm-1", 14.0, False), 1),
            (17.0, Apart("vm-2", 14.0, True), 1),
            (17.0, Apart("vm-1", 10.5, True), 1),
            (26.5, Apart("vm-1", 26.0, True), 1),
        ],
    )
    def test_late_run(self, sent_s: float, apart: Apart | None, violations: int) -> None:
        """Guards against a check that a partition switches off."""
        request = SentRequest(
            "1", "vm-1", "/x", "large", "large-2", "", sent_s, sent_s, 200, "", "", {}
        )
        history = History(1, requests=[request], withdrawals=[Withdrawal("large-2", 10.0, 20.0)])
        history.runs = [{"trace": "1", "workspace": "large", "unix_s": sent_s}]
        history.apart = [apart] if apart else []
        assert len(list(check_keys(history))) == violations


class TestRevisionCheck:
    """An accepted revision is in force on each VM that has had a path for the bound."""

    @pytest.mark.parametrize(("apart_s", "violations"), [(None, 1), (13.0, 0), (10.5, 1)])
    def test_late_revision(self, apart_s: float | None, violations: int) -> None:
        """Guards against a check that any cut at any time switches off."""
        history = History(1, revisions=[RevisionRead("vm-1", 1, 17.0, 4)], in_force=[(10.0, 5)])
        history.apart = [Apart("vm-1", apart_s, True)] if apart_s else []
        assert len(list(check_revisions(history))) == violations

    def test_one_of_two_operators_is_accepted(self) -> None:
        """Guards against two accepted changes of one version."""
        assert not list(check_revisions(History(1, races=[Race(2, (7,), (409,))])))
        assert len(list(check_revisions(History(1, races=[Race(2, (7, 8), ())])))) == 1
