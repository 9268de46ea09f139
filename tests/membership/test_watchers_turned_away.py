"""Test that changes are heard while the store turns some VMs away."""

from itertools import combinations

from wagtailbay.membership import Member, VmIdentity, VmState, choose_watchers
from wagtailbay.programs.gateway_build import WATCHERS_PER_REGION

# The VMs of both users' deployments by region.
FLEETS = ((4, 3, 3), (4, 4, 3))
# The share of VMs that the store may turn away at the same time.
TURNED_AWAY = 0.35


class TestWatchersTurnedAway:
    """Keep a watcher that the store serves."""

    def test_some_watcher_is_served_whichever_vms_are_turned_away(self):
        """Guards against a withdrawn key that works until all VMs find their knowledge stale."""
        for sizes in FLEETS:
            members = [
                Member(VmIdentity(f"10.{region}.0.{n}", 1, "", "", f"r{region}"), VmState.LIVE, 1)
                for region, size in enumerate(sizes)
                for n in range(size)
            ]
            watchers = choose_watchers(members, lambda zone: zone, WATCHERS_PER_REGION)
            names = [member.identity.vm for member in members]
            turned_away = -int(-TURNED_AWAY * len(names) // 1)
            for away in combinations(names, turned_away):
                assert watchers - set(away)
