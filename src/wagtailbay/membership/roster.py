"""Roster of the VMs in the fleet and their last known states."""

from collections.abc import Iterable

from attrs import define, evolve, field

from wagtailbay.membership.const import MAX_MEMBERS, MEMBER_RETENTION_S
from wagtailbay.membership.messages import Contact
from wagtailbay.membership.models import Member, VmIdentity, VmState
from wagtailbay.replica import ChangeSignal


@define
class Roster:
    """Store the newest known state of each VM, including this one.

    Attributes:
        announced: Notified when this VM changes its own state.
        superseded: Whether a process with a later start uses this VM's name.
        position: Grows with each change of another VM's incarnation or state.
        positions: The position of each other VM's newest change, oldest first.
    """

    own: VmIdentity
    members: dict[str, Member] = field(factory=dict)
    announced: ChangeSignal = field(factory=ChangeSignal)
    superseded: bool = False
    position: int = 0
    positions: dict[str, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Add this VM in the state JOINING."""
        self.members[self.own.vm] = Member(self.own, VmState.JOINING, 1)

    @property
    def own_member(self) -> Member:
        """Return this VM's own entry."""
        return self.members[self.own.vm]

    def announce(self, state: VmState) -> None:
        """Change this VM's own state and notify the peer loops."""
        member = self.members[self.own.vm]
        self.members[self.own.vm] = evolve(member, state=state, sequence=member.sequence + 1)
        self.announced.notify()

    def renumber(self, incarnation: int) -> None:
        """Continue as a run with a higher number."""
        self.own, self.superseded = evolve(self.own, incarnation=incarnation), False
        self.members[self.own.vm] = evolve(self.own_member, identity=self.own)
        self.announced.notify()

    def newer_incarnation(self, identity: VmIdentity) -> int:
        """Return the newest known run of a VM if it is newer than the given one, else 0."""
        known = self.members.get(identity.vm)
        if known is None or known.identity.incarnation <= identity.incarnation:
            return 0
        return known.identity.incarnation

    def _record_change(self, vm: str) -> None:
        self.position += 1
        # Reinserting keeps the dict ordered by position, so changed_after can read it from the end.
        self.positions.pop(vm, None)
        self.positions[vm] = self.position

    def changed_after(self, position: int) -> list[Member]:
        """Return the other VMs that changed after a position, the newest change first."""
        changed = []
        for vm in reversed(self.positions):
            if self.positions[vm] <= position:
                break
            changed.append(self.members[vm])
        return changed

    def merge(self, members: Iterable[Member]) -> bool:
        """Merge members reported by a peer; return whether a state or incarnation changed."""
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
        """Merge contact times reported by a peer, for incarnations that this VM knows."""
        for contact in contacts:
            known = self.members.get(contact.vm)
            if known is not None and known.identity.incarnation == contact.incarnation:
                contact_s = _latest(known.contact_s, contact.contact_s)
                self.members[contact.vm] = evolve(known, contact_s=contact_s)

    def record_message(self, member: Member, now_s: float) -> bool:
        """Record direct contact with a VM at now_s and the state in its message.

        Returns:
            Whether the message was recorded. It is not if it is from an older incarnation or from
            another process with this VM's name, or if the roster is full.
        """
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
        """Return the VMs in any of the states, sorted by name."""
        wanted = (m for m in self.members.values() if m.state in states)
        return tuple(sorted(wanted, key=lambda member: member.identity.vm))

    def remove_expired(self, now_s: float) -> None:
        """Remove VMs that no VM has been in contact with for MEMBER_RETENTION_S."""
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
