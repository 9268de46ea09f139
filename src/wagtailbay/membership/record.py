"""Hold what one peer has, and prove from its calls that it heard this VM."""

from attrs import define

from wagtailbay.membership.const import CALL_BACK_AFTER_S, MIN_CLOCK_RATE_RATIO
from wagtailbay.membership.messages import ClockEcho


@define
class PeerSyncState:
    """Hold what one peer has and what was received from it.

    Attributes:
        incarnation: The run of the peer that the other fields belong to.
        revision: The peer's replica is at least here.
        facts_received: This VM holds the peer's facts up to this position.
        facts_acked: The peer holds this VM's facts up to this position.
        replica_acked: The peer holds this VM's objects up to this position.
        replica_digest: Of the keys and versions that the peer held when it was heard last.
        digest_position: This VM's position at that time.
        replica_received: This VM holds the peer's objects up to this position.
        members_acked: The peer holds this VM's roster up to this position.
        contacts_sent_s: When the contacts were last told to the peer.
        mark_ms: The peer's clock in its newest answer, 0 if there was none.
        mark_received_s: When that answer arrived.
        issued_mark_ms: This VM's clock in its newest answer to the peer.
        issued_members_position: The roster's position that this answer reached.
        answered_call_s: The last_call_s of the call that this answer answered, None if unknown.
        last_call_s: A moment after which the peer built a call to this VM, the latest one proved.
    """

    incarnation: int = 0
    revision: int = 0
    facts_received: int = 0
    facts_acked: int = 0
    replica_acked: int = 0
    replica_received: int = 0
    replica_digest: int | None = None
    digest_position: int = -1
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
        """Return what a call to the peer tells it of its own clock."""
        if not self.mark_ms:
            return None
        return ClockEcho(self.mark_ms, max(0, int((now_s - self.mark_received_s) * 1000)))

    def issue_mark(self, now_s: float, members_through: int) -> int:
        """Return the mark of an answer; it is rounded down, so that it never names a later time."""
        mark_ms = int(now_s * 1000)
        if mark_ms != self.issued_mark_ms:
            self.issued_mark_ms, self.issued_members_position = mark_ms, members_through
            self.answered_call_s = self.last_call_s if self.last_call_s > 0 else None
        return mark_ms

    def proven_call_s(self, echo: ClockEcho | None, now_s: float) -> float | None:
        """Return a moment after which a call of the peer was built, None if it proves none.

        The peer had the echoed mark only after this VM gave it, and for the stated time, of which
        a tenth may be the difference between two clocks.
        """
        if echo is None or echo.mark_ms > self.issued_mark_ms:
            return None
        proven_s = (echo.mark_ms + MIN_CLOCK_RATE_RATIO * echo.held_ms) / 1000
        return proven_s if proven_s <= now_s else None

    def acknowledge_echo(self, echo: ClockEcho | None) -> float | None:
        """Note which answer the peer has received if the echo is of the newest one.

        Returns a moment at which the peer sent a call whose answer it has received, or None. The
        peer counts this VM as heard from that moment on.
        """
        if echo is None or echo.mark_ms != self.issued_mark_ms:
            return None
        self.members_acked = max(self.members_acked, self.issued_members_position)
        return self.answered_call_s

    def call_deferral_s(self, now_s: float) -> float:
        """Return how long the peer's own calls make one of this VM needless."""
        return self.last_call_s + CALL_BACK_AFTER_S - now_s
