"""Hold what is known of the fleet's VMs."""

from collections.abc import Iterable

from attrs import define, evolve, field

from wagtailbay.membership.const import MAX_MEMBERS, MEMBER_RETENTION_S
from wagtailbay.membership.messages import Contact
from wagtailbay.membership.models import Member, VmIdentity, VmState
from wagtailbay.replica import ChangeSignal


@define
class Roster:
    """Hold the newest known state of each VM, this one included.

    Attributes:
        announced: Notified when this VM changes its own state.
        superseded: Whether another process runs under this VM's name since a later start.
        position: Grows with each change of another VM's run or state.
        positions: Of the newest change of each other VM, oldest first.
    """

    own: VmIdentity
    members: dict[str, Member] = field(factory=dict)
    announced: ChangeSignal = field(factory=ChangeSignal)
    superseded: bool = False
    position: int = 0
    positions: dict[str, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Enter this VM as joining."""
        self.members[self.own.vm] = Member(self.own, VmState.JOINING, 1)

    @property
    def own_member(self) -> Member:
        """Return this VM's own entry."""
        return self.members[self.own.vm]

    def announce(self, state: VmState) -> None:
        """Change this VM's own state."""
        member = self.members[self.own.vm]
        self.members[self.own.vm] = evolve(member, state=state, sequence=member.sequence + 1)
        self.announced.notify()

    def _record_change(self, vm: str) -> None:
        self.position += 1
        # Names stay ordered by position, so that the newest changes are at the end.
        self.positions.pop(vm, None)
        self.positions[vm] = self.position

    def changed_after(self, position: int) -> list[Member]:
        """Return the other VMs that changed after a position, newest change first."""
        changed = []
        for vm in reversed(self.positions):
            if self.positions[vm] <= position:
                break
            changed.append(self.members[vm])
        return changed

    def merge(self, members: Iterable[Member]) -> bool:
        """Take in what others know; returns whether anything changed."""
        changed = False
        for member in members:
            known = self.members.get(member.identity.vm)
            if member.identity.vm == self.own.vm:
                self._check_superseded(member)
                continue
            if known is None and len(self.members) >= MAX_MEMBERS:
                continue
            if known and not _is_newer(member, known):
                self._merge_contact(known, member)
                continue
            same_incarnation = known and known.identity.incarnation == member.identity.incarnation
            self.members[member.identity.vm] = evolve(
                member,
                direct_contact_s=known.direct_contact_s if same_incarnation else None,
                contact_s=_latest(known.contact_s if same_incarnation else None, member.contact_s),
            )
            self._record_change(member.identity.vm)
            changed = True
        return changed

    def _check_superseded(self, member: Member) -> None:
        if member.identity.incarnation > self.own.incarnation:
            self.superseded = True

    def _merge_contact(self, known: Member, member: Member) -> None:
        if known.identity.incarnation == member.identity.incarnation:
            contact_s = _latest(known.contact_s, member.contact_s)
            self.members[known.identity.vm] = evolve(known, contact_s=contact_s)

    def merge_contacts(self, contacts: Iterable[Contact]) -> None:
        """Take in when others heard runs that this VM knows."""
        for contact in contacts:
            known = self.members.get(contact.vm)
            if known is not None and known.identity.incarnation == contact.incarnation:
                contact_s = _latest(known.contact_s, contact.contact_s)
                self.members[contact.vm] = evolve(known, contact_s=contact_s)

    def record_message(self, member: Member, now_s: float) -> bool:
        """Take in a VM's own message; False if it comes from an older incarnation."""
        if member.identity.vm == self.own.vm:
            self._check_superseded(member)
            return False
        known = self.members.get(member.identity.vm)
        if known and member.identity.incarnation < known.identity.incarnation:
            return False
        if known is None and len(self.members) >= MAX_MEMBERS:
            return False
        newest = known if known and not _is_newer(member, known) else member
        same_incarnation = known and known.identity.incarnation == member.identity.incarnation
        self.members[member.identity.vm] = evolve(
            newest,
            direct_contact_s=_latest(known.direct_contact_s if same_incarnation else None, now_s),
            contact_s=_latest(known.contact_s if same_incarnation else None, now_s),
        )
        if newest is not known:
            self._record_change(member.identity.vm)
        return True

    def with_state(self, *states: VmState) -> tuple[Member, ...]:
        """Return the VMs in any of the states, ordered by name."""
        wanted = (m for m in self.members.values() if m.state in states)
        return tuple(sorted(wanted, key=lambda member: member.identity.vm))

    def remove_expired(self, now_s: float) -> None:
        """Drop VMs that nobody has heard for long."""
        self.members = {
            vm: member
            for vm, member in self.members.items()
            if vm == self.own.vm
            or (member.contact_s is not None and now_s - member.contact_s < MEMBER_RETENTION_S)
        }
        self.positions = {vm: at for vm, at in self.positions.items() if vm in self.members}


def _is_newer(member: Member, known: Member) -> bool:
    key = (member.identity.incarnation, member.sequence)
    return key > (known.identity.incarnation, known.sequence)


def _latest(*times_s: float | None) -> float | None:
    return max((time_s for time_s in times_s if time_s is not None), default=None)
