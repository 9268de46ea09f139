"""Tell whether this VM has exchanged messages lately with a quorum of the fleet."""

from collections.abc import Callable

from attrs import define, field

from wagtailbay.membership.const import QUORUM_CONTACT_TIMEOUT_S
from wagtailbay.membership.models import VmState
from wagtailbay.membership.roster import Roster

READY_STATES = (VmState.LIVE, VmState.LEAVING)


@define
class Quorum:
    """Count the ready peers whose replica this VM has caught up with.

    Attributes:
        votes: Returns of how many VMs a quorum is more than half, None while it is unknown.
        has_vote: Tells whether a VM counts.
        caught_up_peers: By peer, the incarnation and when the call was sent whose answer
            brought this VM's replica up to the peer's.
    """

    roster: Roster
    votes: Callable[[], int | None]
    has_vote: Callable[[str], bool] = lambda vm: True
    caught_up_peers: dict[str, tuple[int, float]] = field(factory=dict)

    def record_answer(self, vm: str, incarnation: int, call_sent_s: float) -> None:
        """Record an answer after which this VM's replica is not behind the peer's.

        The time of the question counts: an answer may have waited while this process was stopped.
        """
        known = self.caught_up_peers.get(vm)
        self.caught_up_peers[vm] = max(
            (incarnation, call_sent_s), known or (incarnation, call_sent_s)
        )

    def answering_peers(self, now_s: float) -> frozenset[str]:
        """Return the ready peers that count now."""
        return frozenset(
            vm
            for vm, (incarnation, call_sent_s) in self.caught_up_peers.items()
            if now_s - call_sent_s <= QUORUM_CONTACT_TIMEOUT_S
            and self.has_vote(vm)
            and (member := self.roster.members.get(vm)) is not None
            and member.identity.incarnation == incarnation
            and member.state in READY_STATES
        )

    def has_quorum(self, now_s: float) -> bool:
        """Tell whether more than half of the votes, this VM's included, have exchanged lately."""
        votes = self.votes()
        if votes is None or self.roster.own_member.state not in READY_STATES:
            return False
        own = 1 if self.has_vote(self.roster.own.vm) else 0
        return len(self.answering_peers(now_s)) + own > votes / 2

    def can_become_ready(self, now_s: float) -> bool:
        """Tell whether the peers' answers hold everything in force, for a VM that just started.

        This VM's earlier run may have been one of the quorum that applied a change, so it does
        not count itself: of votes - 1 others, a quorum without this VM has at least
        votes // 2, and every set of (votes + 1) // 2 others shares a VM with it.
        """
        votes = self.votes()
        return votes is not None and len(self.answering_peers(now_s)) >= (votes + 1) // 2
