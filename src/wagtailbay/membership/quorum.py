"""Tell whether this VM has exchanged messages lately with a quorum of the fleet."""

from collections.abc import Callable

from attrs import define, field

from wagtailbay.membership.const import QUORUM_HEARD_S
from wagtailbay.membership.models import VmState
from wagtailbay.membership.roster import Roster

READY_STATES = (VmState.LIVE, VmState.LEAVING)


@define
class Quorum:
    """Count the ready peers whose replica this VM has caught up with.

    Attributes:
        max_vms: Returns the most entry processes ever alive, None while it is unknown.
        caught_up: By peer, the incarnation and when the call was sent whose answer brought this
            VM's replica up to the peer's.
    """

    roster: Roster
    max_vms: Callable[[], int | None]
    caught_up: dict[str, tuple[int, float]] = field(factory=dict)

    def record(self, vm: str, incarnation: int, asked_s: float) -> None:
        """Record an answer after which this VM's replica is not behind the peer's.

        The time of the question counts: an answer may have waited while this process was stopped.
        """
        known = self.caught_up.get(vm)
        self.caught_up[vm] = max((incarnation, asked_s), known or (incarnation, asked_s))

    def answered(self, now_s: float) -> frozenset[str]:
        """Return the ready peers that count now."""
        return frozenset(
            vm
            for vm, (incarnation, asked_s) in self.caught_up.items()
            if now_s - asked_s <= QUORUM_HEARD_S
            and (member := self.roster.members.get(vm)) is not None
            and member.identity.incarnation == incarnation
            and member.state in READY_STATES
        )

    def has_quorum(self, now_s: float) -> bool:
        """Tell whether more than half of max_vms, this VM counted, have exchanged lately."""
        max_vms = self.max_vms()
        if max_vms is None or self.roster.own_member.state not in READY_STATES:
            return False
        return len(self.answered(now_s)) + 1 > max_vms / 2

    def can_become_ready(self, now_s: float) -> bool:
        """Tell whether the peers' answers hold everything in force, for a VM that just started.

        This VM's earlier run may have been one of the quorum that applied a change, so it does
        not count itself: of max_vms - 1 others, a quorum without this VM has at least
        max_vms // 2, and every set of (max_vms + 1) // 2 others shares a VM with it.
        """
        max_vms = self.max_vms()
        return max_vms is not None and len(self.answered(now_s)) >= (max_vms + 1) // 2
