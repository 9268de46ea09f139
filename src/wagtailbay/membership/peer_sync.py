"""Track replication progress with a peer, and prove contact with it from its calls."""

from attrs import define

from wagtailbay.membership.const import CALL_BACK_AFTER_S, MIN_CLOCK_RATE_RATIO
from wagtailbay.membership.messages import ClockEcho


@define
class PeerSyncState:
    """Replication progress between this VM and one peer.

    A mark is a timestamp that a VM puts into its answers, read from its own clock. A call that
    returns the mark proves that it was built after the mark was issued.

    Attributes:
        incarnation: The incarnation of the peer to which the other fields belong.
        revision: The revision that the peer's replica has at least.
        facts_received: This VM has the peer's facts up to this position.
        facts_acked: The peer has this VM's facts up to this position.
        gets_delegate_facts: Whether the last message to the peer included the facts for delegates,
            None before the first message.
        replica_acked: The peer has this VM's objects up to this position.
        replica_digest: Digest of the keys and versions that the peer's last message stated.
        digest_position: This VM's replica position after that message was applied.
        unexplained_digests: Consecutive messages in which the peer stated another digest although
            it has all objects of this VM.
        replica_received: This VM has the peer's objects up to this position.
        members_acked: The peer has this VM's roster up to this position.
        store_reachable: False if the peer's last call to the store failed, True if it succeeded or
            there was none; None before the first message.
        contacts_sent_s: When the directly contacted members were last sent to the peer.
        mark_ms: The mark in the peer's newest answer, 0 if there was none.
        mark_received_s: When that answer arrived.
        issued_mark_ms: The mark in this VM's newest answer to the peer.
        issued_members_position: The roster position covered by that answer.
        answered_call_s: The last_call_s of the call answered with that mark, None if unknown.
        last_call_s: The latest time after which the peer provably built a call to this VM.
    """

    incarnation: int = 0
    revision: int = 0
    facts_received: int = 0
    facts_acked: int = 0
    gets_delegate_facts: bool | None = None
    replica_acked: int = 0
    replica_received: int = 0
    replica_digest: int | None = None
    digest_position: int = -1
    unexplained_digests: int = 0
    members_acked: int = 0
    contacts_sent_s: float = float("-inf")
    store_reachable: bool | None = None
    mark_ms: int = 0
    mark_received_s: float = 0.0
    issued_mark_ms: int = 0
    issued_members_position: int = 0
    answered_call_s: float | None = None
    last_call_s: float = float("-inf")

    def build_echo(self, now_s: float) -> ClockEcho | None:
        """Return the echo of the peer's newest mark for a call to it, None without a mark."""
        if not self.mark_ms:
            return None
        return ClockEcho(self.mark_ms, max(0, int((now_s - self.mark_received_s) * 1000)))

    def issue_mark(self, now_s: float, members_through: int) -> int:
        """Return the mark for an answer; rounded down so that it is never ahead of the clock."""
        mark_ms = int(now_s * 1000)
        if mark_ms != self.issued_mark_ms:
            self.issued_mark_ms, self.issued_members_position = mark_ms, members_through
            self.answered_call_s = self.last_call_s if self.last_call_s > 0 else None
        return mark_ms

    def proven_call_s(self, echo: ClockEcho | None, now_s: float) -> float | None:
        """Return a time after which the peer built a call, None if the call proves none.

        The peer received the echoed mark after this VM issued it, and held it for the time that
        it states, of which a tenth is deducted for the difference between two clocks.
        """
        if echo is None or echo.mark_ms > self.issued_mark_ms:
            return None
        proven_s = (echo.mark_ms + MIN_CLOCK_RATE_RATIO * echo.held_ms) / 1000
        return proven_s if proven_s <= now_s else None

    def acknowledge_echo(self, echo: ClockEcho | None) -> float | None:
        """Record that the peer has received the newest answer, if the echo returns its mark.

        Returns a time after which the peer sent a call whose answer it has received, or None. The
        peer counts this VM as in contact as of that call.
        """
        if echo is None or echo.mark_ms != self.issued_mark_ms:
            return None
        self.members_acked = max(self.members_acked, self.issued_members_position)
        return self.answered_call_s

    def call_deferral_s(self, now_s: float) -> float:
        """Return for how long the peer's own calls make a call to it unnecessary."""
        return self.last_call_s + CALL_BACK_AFTER_S - now_s
