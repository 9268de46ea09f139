"""Adapter of the fleet for the slices of an entry VM."""

from collections.abc import Sequence

from attrs import define
from result import Result

from wagtailbay.allotment import BorrowFailed
from wagtailbay.membership import LoanGrant, LoanRequest, Member
from wagtailbay.programs.fleet import Fleet


@define
class FleetView:
    """Implements the fleet protocols of budget allotment and version moves."""

    fleet: Fleet

    def is_holder(self, now_s: float) -> bool:
        """Return whether this VM holds the lease on the control duties."""
        return self.fleet.lease.is_holder(now_s)

    def is_isolated(self, now_s: float) -> bool:
        """Return whether this VM is isolated and may only use its floor share."""
        return self.fleet.isolation.is_isolated(now_s)

    def members(self) -> Sequence[Member]:
        """Return the latest known state of every VM, including this one."""
        return tuple(self.fleet.roster.members.values())

    def last_heard_s(self, vm: str) -> float | None:
        """Return when new information about a VM last arrived, directly or through other VMs."""
        member = self.fleet.roster.members.get(vm)
        return member.contact_s if member else None

    def neighbours(self) -> Sequence[str]:
        """Return the VMs that this one exchanges messages with, in order of proximity."""
        fleet_document = self.fleet.document()
        own = self.fleet.roster.own.availability_zone
        own_region = fleet_document.region_of(own) if fleet_document else None

        def proximity(vm: str) -> tuple[int, str]:
            member = self.fleet.roster.members.get(vm)
            zone = member.identity.availability_zone if member else ""
            if zone == own:
                return 0, vm
            region = fleet_document.region_of(zone) if fleet_document else None
            return (1 if region == own_region else 2), vm

        return tuple(sorted(self.fleet.peers.loops, key=proximity))

    def last_contact_s(self) -> float | None:
        """Return when a peer or the store last responded, None if neither ever did."""
        own = self.fleet.roster.own.vm
        contact_times_s = [m.direct_contact_s for m in self.members() if m.identity.vm != own]
        known_times_s = [*contact_times_s, self.fleet.freshness.confirmed_s]
        return max((time_s for time_s in known_times_s if time_s is not None), default=None)

    async def borrow(
        self, vm: str, request: LoanRequest, timeout_ms: int
    ) -> Result[LoanGrant, BorrowFailed]:
        """Request a budget loan from a VM."""
        loan_result = await self.fleet.client.borrow(vm, request, timeout_ms)
        return loan_result.map_err(lambda error: BorrowFailed(str(error)))
