"""Tell whether this VM may have lost its shares without knowing."""

from attrs import define

from wagtailbay.membership.const import ISOLATED_AFTER_S, STOPPED_AFTER_S


@define
class IsolationCheck:
    """Track this VM's contacts and whether its own loop was stopped.

    A VM is isolated after 20 s without an exchange and a store answer, or after its loop stopped
    for over 5 s, until the answer to a call sent after that moment.

    Attributes:
        seen_s: When the loop last ran.
        contact_s: When the last answered call was sent, by this VM or by a peer to it.
        isolated_since_s: When the isolation was noticed, None if there is none.
    """

    seen_s: float
    contact_s: float
    isolated_since_s: float | None

    @classmethod
    def starting(cls, now_s: float) -> "IsolationCheck":
        """Return the check of a VM that has had no contact yet."""
        return cls(now_s, now_s, now_s)

    def tick(self, now_s: float) -> None:
        """Record that the loop runs; called at least every second."""
        stopped = now_s - self.seen_s > STOPPED_AFTER_S
        unheard = now_s - self.contact_s > ISOLATED_AFTER_S
        if stopped or (unheard and self.isolated_since_s is None):
            self.isolated_since_s = now_s
        self.seen_s = max(self.seen_s, now_s)

    def record_exchange(self, asked_s: float, now_s: float) -> None:
        """Record a peer's answer to a call sent at asked_s; it ends an earlier isolation."""
        self.tick(now_s)
        self.contact_s = max(self.contact_s, asked_s)
        if self.isolated_since_s is not None and asked_s >= self.isolated_since_s:
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
