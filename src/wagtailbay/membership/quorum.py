"""Check whether this VM recently exchanged messages with a quorum of the fleet."""

from collections.abc import Callable

from attrs import define, field

from wagtailbay.membership.const import QUORUM_CONTACT_TIMEOUT_S
from wagtailbay.membership.models import VmState
from wagtailbay.membership.roster import Roster

READY_STATES = (VmState.LIVE, VmState.LEAVING)


@define
class Quorum:
    """Count the ready peers with whose replica this VM has caught up.

    Attributes:
        votes: Returns the number of votes, of which a quorum is more than half; None while it is
            unknown.
        has_vote: Returns whether a VM has a vote.
        caught_up_peers: For each peer, its incarnation and the time of the call whose answer
            brought this VM's replica up to the peer's.
    """

    roster: Roster
    votes: Callable[[], int | None]
    has_vote: Callable[[str], bool] = lambda vm: True
    caught_up_peers: dict[str, tuple[int, float]] = field(factory=dict)

    def record_answer(self, vm: str, incarnation: int, call_sent_s: float) -> None:
        """Record an answer after which this VM's replica is not behind the peer's.

        The time of the call counts, since its answer may have waited while this process was
        stopped.
        """
        known = self.caught_up_peers.get(vm)
        self.caught_up_peers[vm] = max(
            (incarnation, call_sent_s), known or (incarnation, call_sent_s)
        )

    def answering_peers(self, now_s: float) -> frozenset[str]:
        """Return the ready peers with a vote whose last contact is recent enough."""
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
        """Return whether recent exchanges cover a majority of the votes, counting this VM's."""
        votes = self.votes()
        if votes is None or self.roster.own_member.state not in READY_STATES:
            return False
        own = 1 if self.has_vote(self.roster.own.vm) else 0
        return len(self.answering_peers(now_s)) + own > votes / 2

    def can_become_ready(self, now_s: float) -> bool:
        """Return whether a newly started VM has received every change in force from its peers.

        This VM's earlier incarnation may have been part of the quorum that applied a change, so
        the VM does not count itself: a quorum that included it has at least votes // 2 of the
        votes - 1 others, and every set of (votes + 1) // 2 others shares a VM with those.
        """
        votes = self.votes()
        return votes is not None and len(self.answering_peers(now_s)) >= (votes + 1) // 2
