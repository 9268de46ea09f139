"""Test that the fleet still receives changes while the store rejects some VMs."""

from itertools import combinations

from wagtailbay.membership import Member, VmIdentity, VmState, choose_watchers
from wagtailbay.programs.gateway_builder import WATCHERS_PER_REGION

# VMs per region in the deployments of both users.
REGION_SIZES = ((4, 3, 3), (4, 4, 3))
# The fraction of VMs that the store may reject at the same time.
REJECTED_FRACTION = 0.35


class TestWatchersRejectedByStore:
    """The store still serves at least one watcher."""

    def test_some_watcher_is_served_for_any_rejected_vms(self):
        """Guards against a withdrawn key that is accepted until all replicas count as stale."""
        for sizes in REGION_SIZES:
            members = [
                Member(VmIdentity(f"10.{region}.0.{n}", 1, "", "", f"r{region}"), VmState.LIVE, 1)
                for region, size in enumerate(sizes)
                for n in range(size)
            ]
            watchers = choose_watchers(members, lambda zone: zone, WATCHERS_PER_REGION)
            names = [member.identity.vm for member in members]
            rejected_count = -int(-REJECTED_FRACTION * len(names) // 1)
            for rejected in combinations(names, rejected_count):
                assert watchers - set(rejected)
