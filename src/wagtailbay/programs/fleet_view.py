"""Show the fleet to slices that need a part of it."""

from collections.abc import Sequence

from attrs import define
from result import Result

from wagtailbay.allotment import BorrowFailed
from wagtailbay.membership import LoanGrant, LoanRequest, Member
from wagtailbay.programs.fleet import Fleet


@define
class FleetView:
    """Answer what the budgets and the moves ask of the fleet."""

    fleet: Fleet

    def is_holder(self, now_s: float) -> bool:
        """Tell whether this VM holds the lease on control duties."""
        return self.fleet.lease.is_holder(now_s)

    def is_isolated(self, now_s: float) -> bool:
        """Tell whether this VM must keep to its floor."""
        return self.fleet.isolation.is_isolated(now_s)

    def members(self) -> Sequence[Member]:
        """Return the newest known state of every VM, this one included."""
        return tuple(self.fleet.roster.members.values())

    def last_heard_s(self, vm: str) -> float | None:
        """Return when anything new of a VM arrived, directly or through others."""
        member = self.fleet.roster.members.get(vm)
        return member.contact_s if member else None

    def neighbours(self) -> Sequence[str]:
        """Return the VMs that this one exchanges messages with, nearest first."""
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
        """Return when a peer or the store last answered, None if never."""
        own = self.fleet.roster.own.vm
        contact_times_s = [m.direct_contact_s for m in self.members() if m.identity.vm != own]
        known_times_s = [*contact_times_s, self.fleet.freshness.confirmed_s]
        return max((time_s for time_s in known_times_s if time_s is not None), default=None)

    async def borrow(
        self, vm: str, request: LoanRequest, timeout_ms: int
    ) -> Result[LoanGrant, BorrowFailed]:
        """Ask a VM for a loan."""
        loan_result = await self.fleet.client.borrow(vm, request, timeout_ms)
        return loan_result.map_err(lambda error: BorrowFailed(str(error)))
