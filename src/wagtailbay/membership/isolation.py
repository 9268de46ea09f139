"""Detect that this VM may have lost its budget shares without noticing."""

from attrs import define

from wagtailbay.membership.const import ISOLATION_TIMEOUT_S, LOOP_STALL_TIMEOUT_S


@define
class IsolationCheck:
    """Track this VM's contacts with peers and the store, and stalls of its own loop.

    A VM is isolated after 20 s with neither an exchange nor a store answer, or after its loop
    stalled for over 5 s. The isolation ends with the answer to a call sent after it was detected.

    Attributes:
        last_tick_s: When the loop last ran.
        contact_s: When the last answered call or store request was sent, by this VM or by a peer
            to it.
        isolated_since_s: When the isolation was detected; None while the VM is not isolated.
    """

    last_tick_s: float
    contact_s: float
    isolated_since_s: float | None

    @classmethod
    def starting(cls, now_s: float) -> "IsolationCheck":
        """Return the check of a VM without contact so far, which starts isolated."""
        return cls(now_s, now_s, now_s)

    def tick(self, now_s: float) -> None:
        """Record that the loop runs; must be called at least every second."""
        stalled = now_s - self.last_tick_s > LOOP_STALL_TIMEOUT_S
        timed_out = now_s - self.contact_s > ISOLATION_TIMEOUT_S
        if stalled or (timed_out and self.isolated_since_s is None):
            self.isolated_since_s = now_s
        self.last_tick_s = max(self.last_tick_s, now_s)

    def record_exchange(self, call_sent_s: float, now_s: float) -> None:
        """Record the answer to a call sent at call_sent_s; ends an isolation detected earlier."""
        self.tick(now_s)
        self.contact_s = max(self.contact_s, call_sent_s)
        if self.isolated_since_s is not None and call_sent_s >= self.isolated_since_s:
            self.isolated_since_s = None

    def record_contact(self, contact_s: float, now_s: float) -> None:
        """Record a contact that prevents isolation but does not end one.

        This is a store answer to a request sent at contact_s, or proof that a peer sent a call at
        contact_s and received its answer.
        """
        self.tick(now_s)
        self.contact_s = max(self.contact_s, contact_s)

    def is_isolated(self, now_s: float) -> bool:
        """Return whether this VM is isolated and may use only the floor of each budget."""
        self.tick(now_s)
        return self.isolated_since_s is not None
