"""Hold what is known of the fleet's VMs."""

from collections.abc import Iterable

from attrs import define, evolve, field

from wagtailbay.membership.models import Member, VmIdentity, VmState


@define
class Roster:
    """Hold the newest known state of each VM, this one included."""

    own: VmIdentity
    members: dict[str, Member] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Enter this VM as joining."""
        self.members[self.own.vm] = Member(self.own, VmState.JOINING, 1)

    def announce(self, state: VmState) -> None:
        """Change this VM's own state."""
        member = self.members[self.own.vm]
        self.members[self.own.vm] = evolve(member, state=state, sequence=member.sequence + 1)

    def merge(self, members: Iterable[Member]) -> bool:
        """Take in what others know; returns whether anything changed."""
        changed = False
        for member in members:
            known = self.members.get(member.identity.vm)
            if member.identity.vm == self.own.vm or (known and not _is_newer(member, known)):
                continue
            heard_s = known.heard_s if known else None
            self.members[member.identity.vm] = evolve(member, heard_s=heard_s)
            changed = True
        return changed

    def hear(self, member: Member, now_s: float) -> bool:
        """Take in a VM's own message; False if it comes from an older incarnation."""
        known = self.members.get(member.identity.vm)
        if known and member.identity.incarnation < known.identity.incarnation:
            return False
        newest = known if known and not _is_newer(member, known) else member
        self.members[member.identity.vm] = evolve(newest, heard_s=now_s)
        return True

    def with_state(self, *states: VmState) -> tuple[Member, ...]:
        """Return the VMs in any of the states, ordered by name."""
        wanted = (m for m in self.members.values() if m.state in states)
        return tuple(sorted(wanted, key=lambda member: member.identity.vm))


def _is_newer(member: Member, known: Member) -> bool:
    key = (member.identity.incarnation, member.sequence)
    return key > (known.identity.incarnation, known.sequence)
