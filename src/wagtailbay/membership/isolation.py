"""Tell whether this VM may have lost its shares without knowing."""

from attrs import define

from wagtailbay.membership.const import ISOLATION_TIMEOUT_S, LOOP_STALL_TIMEOUT_S


@define
class IsolationCheck:
    """Track this VM's contacts and whether its own loop was stopped.

    A VM is isolated after 20 s without an exchange and a store answer, or after its loop stopped
    for over 5 s, until the answer to a call sent after that moment.

    Attributes:
        last_tick_s: When the loop last ran.
        contact_s: When the last answered call was sent, by this VM or by a peer to it.
        isolated_since_s: When the isolation was noticed, None if there is none.
    """

    last_tick_s: float
    contact_s: float
    isolated_since_s: float | None

    @classmethod
    def starting(cls, now_s: float) -> "IsolationCheck":
        """Return the check of a VM that has had no contact yet."""
        return cls(now_s, now_s, now_s)

    def tick(self, now_s: float) -> None:
        """Record that the loop runs; called at least every second."""
        stalled = now_s - self.last_tick_s > LOOP_STALL_TIMEOUT_S
        timed_out = now_s - self.contact_s > ISOLATION_TIMEOUT_S
        if stalled or (timed_out and self.isolated_since_s is None):
            self.isolated_since_s = now_s
        self.last_tick_s = max(self.last_tick_s, now_s)

    def record_exchange(self, call_sent_s: float, now_s: float) -> None:
        """Record a peer's answer to a call sent at call_sent_s; it ends an earlier isolation."""
        self.tick(now_s)
        self.contact_s = max(self.contact_s, call_sent_s)
        if self.isolated_since_s is not None and call_sent_s >= self.isolated_since_s:
            self.isolated_since_s = None

    def record_contact(self, contact_s: float, now_s: float) -> None:
        """Record a contact that keeps a VM from isolation but does not end one.

        This is a store answer to a question asked at contact_s, or a peer's receipt of an answer.
        """
        self.tick(now_s)
        self.contact_s = max(self.contact_s, contact_s)

    def is_isolated(self, now_s: float) -> bool:
        """Tell whether only the floor of each budget may be used."""
        self.tick(now_s)
        return self.isolated_since_s is not None
