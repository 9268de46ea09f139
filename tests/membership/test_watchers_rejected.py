"""Test that changes are heard while the store turns some VMs away."""

from itertools import combinations

from wagtailbay.membership import Member, VmIdentity, VmState, choose_watchers
from wagtailbay.programs.gateway_build import WATCHERS_PER_REGION

# The VMs of both users' deployments by region.
REGION_SIZES = ((4, 3, 3), (4, 4, 3))
# The share of VMs that the store may turn away at the same time.
REJECTED_FRACTION = 0.35


class TestWatchersRejectedByStore:
    """Keep a watcher that the store serves."""

    def test_some_watcher_is_served_for_any_rejected_vms(self):
        """Guards against a withdrawn key that works until all VMs find their knowledge stale."""
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
