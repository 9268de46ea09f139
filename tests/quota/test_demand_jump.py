"""Test a sudden rise of demand on all VMs that learn of each other's demand with a delay."""

from quota.test_share import Fleet, max_admitted_in_window

from wagtailbay.routing import Workspace

PROPAGATION_DELAY_S = 1.0


class DelayedFleet(Fleet):
    """Fleet whose VMs receive each other's demand after PROPAGATION_DELAY_S."""

    def __init__(self, vms: int) -> None:
        super().__init__(vms)
        self.sent: list[tuple[float, list]] = []

    def exchange(self) -> None:
        """Publish the demand of all VMs and deliver facts that are old enough."""
        for quota in self.quotas:
            quota.exchange(self.now_s)
        facts = [fact for quota in self.quotas for fact in quota.facts.own(self.now_s)]
        self.sent.append((self.now_s, facts))
        while self.sent and self.sent[0][0] <= self.now_s - PROPAGATION_DELAY_S:
            _, old = self.sent.pop(0)
            for quota in self.quotas:
                quota.facts.merge(old)


class TestDemandJumpOnAllVms:
    """A workspace's demand rises to five times its rate at all VMs at once (hot tenant)."""

    workspace = Workspace("unam", frozenset(), rate_per_s=173.0, burst=173.0)

    def test_admissions_stay_within_the_bound(self) -> None:
        """Guards against comparing a VM's new demand with the old demand of the others."""
        fleet = DelayedFleet(11)
        fleet.run(self.workspace, [70.0 / 11] * 11, 6)
        admitted = fleet.run(self.workspace, [900.0 / 11] * 11, 8)
        assert max_admitted_in_window(admitted) <= (173 * 5 + 173) * 1.1 + 20
        assert len(admitted) >= 0.8 * 173 * 8
