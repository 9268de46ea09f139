"""Choose the VMs that watch the store from those that still answer and reach it."""

from collections.abc import Callable, Iterable

from attrs import define

from wagtailbay.membership.const import DELEGATES_PER_CELL, WATCHERS_PER_REGION
from wagtailbay.membership.layout import FleetLayout
from wagtailbay.membership.models import Member
from wagtailbay.membership.roster import Roster
from wagtailbay.membership.selection import choose_watchers, responsive_members


@define
class WatcherSelection:
    """Decides whether this VM watches the store.

    Each VM gets changes from watchers that it is in direct contact with. A VM that stops answering
    counts as live for some seconds, in which a change must already take effect, so a silent watcher
    is replaced earlier than that. A watcher whose own calls to the store fail is replaced too.

    In a divided fleet only delegates watch, and only delegates of the same rank are in direct
    contact, so each region has a watcher of each rank.

    Attributes:
        region_of: Returns the region of an availability zone, None if it is unknown.
        layout: Returns the division of the fleet into cells.
        is_store_failing: Returns whether the last store call of a VM failed, by its name.
        max_silence_s: A VM without direct contact for this long is no watcher.
        per_region: Number of watchers in each region.
    """

    roster: Roster
    region_of: Callable[[str], str | None]
    layout: Callable[[], FleetLayout]
    is_store_failing: Callable[[str], bool]
    max_silence_s: float
    per_region: int = WATCHERS_PER_REGION

    def is_watcher(self, now_s: float) -> bool:
        """Return whether this VM is one of the watchers."""
        own, layout = self.roster.own, self.layout()
        members = [
            member
            for member in responsive_members(self.roster, now_s)
            if self._answers(member, now_s)
        ]
        if not layout.is_divided:
            return own.vm in self._choose(members, self.per_region)
        rank = layout.delegate_rank(own.vm)
        if rank is None:
            cell = layout.cell_by_vm.get(own.vm)
            # Without delegates, nobody passes changes on to this VM until others are chosen.
            return not any(
                layout.is_delegate(member.identity.vm)
                and layout.cell_by_vm.get(member.identity.vm) == cell
                for member in members
            )
        peers = [member for member in members if layout.delegate_rank(member.identity.vm) == rank]
        return own.vm in self._choose(peers, max(1, self.per_region // DELEGATES_PER_CELL))

    def _answers(self, member: Member, now_s: float) -> bool:
        if member.identity.vm == self.roster.own.vm:
            return True
        contact_s = member.direct_contact_s
        return contact_s is not None and now_s - contact_s < self.max_silence_s

    def _choose(self, members: Iterable[Member], per_region: int) -> frozenset[str]:
        own_region = self._region(self.roster.own.availability_zone)
        nearby = [m for m in members if self._region(m.identity.availability_zone) == own_region]
        return choose_watchers(nearby, self.region_of, per_region, self.is_store_failing)

    def _region(self, zone: str) -> str:
        return self.region_of(zone) or zone
