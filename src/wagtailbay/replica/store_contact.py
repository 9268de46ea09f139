"""Record whether this VM's calls to the store succeed."""

from attrs import define, field

from wagtailbay.logs import log_event
from wagtailbay.replica.signal import ChangeSignal


@define
class StoreContact:
    """Outcome of the latest calls to the store.

    Attributes:
        reachable: Whether the last call succeeded.
        is_failing: Whether the last call failed; False before the first.
        last_success_s: When the last successful call was sent; None before the first.
        failed: Notified when calls begin to fail, so that another VM can watch the store.
    """

    reachable: bool = False
    is_failing: bool = False
    last_success_s: float | None = None
    failed: ChangeSignal = field(factory=ChangeSignal)

    def record_success(self, sent_s: float, revision: int) -> None:
        """Record a successful call that was sent at sent_s."""
        if not self.reachable:
            log_event("store_reachable", revision=revision)
        self.reachable, self.is_failing, self.last_success_s = True, False, sent_s

    def record_failure(self, reason: str) -> None:
        """Record a failed call."""
        was_failing = self.is_failing
        self.reachable, self.is_failing = False, True
        if not was_failing:
            log_event("store_unreachable", reason=reason)
            self.failed.notify()
