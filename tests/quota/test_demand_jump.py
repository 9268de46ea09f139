"""Test a demand that jumps on all VMs while they hear of each other late."""

from quota.test_share import Fleet, max_admitted_in_window

from wagtailbay.routing import Workspace

PROPAGATION_DELAY_S = 1.0


class DelayedFleet(Fleet):
    """A fleet whose VMs hear each other's demand one exchange later."""

    def __init__(self, vms: int) -> None:
        super().__init__(vms)
        self.sent: list[tuple[float, list]] = []

    def exchange(self) -> None:
        """Let all VMs publish, and hear what was published a while ago."""
        for quota in self.quotas:
            quota.exchange(self.now_s)
        facts = [fact for quota in self.quotas for fact in quota.facts.own(self.now_s)]
        self.sent.append((self.now_s, facts))
        while self.sent and self.sent[0][0] <= self.now_s - PROPAGATION_DELAY_S:
            _, old = self.sent.pop(0)
            for quota in self.quotas:
                quota.facts.merge(old)


class TestDemandJumpOnAllVms:
    """A workspace asks for five times its rate from one moment on, at all VMs (hot tenant)."""

    workspace = Workspace("unam", frozenset(), rate_per_s=173.0, burst=173.0)

    def test_admissions_stay_within_the_bound(self) -> None:
        """Guards against VMs that each count their new demand against the others' old one."""
        fleet = DelayedFleet(11)
        fleet.run(self.workspace, [70.0 / 11] * 11, 6)
        admitted = fleet.run(self.workspace, [900.0 / 11] * 11, 8)
        assert max_admitted_in_window(admitted) <= (173 * 5 + 173) * 1.1 + 20
        assert len(admitted) >= 0.8 * 173 * 8
