"""Count the requests that targets began to run, by window and workspace."""

from attrs import define, field

from wagtailbay.usage.const import KEPT_WINDOWS
from wagtailbay.usage.models import UsageSettings
from wagtailbay.usage.true_time import TrueTime


@define
class UsageCounter:
    """Counts of this VM by window.

    An attempt counts when it is sent, in the window of that time. It is removed again if the target
    states that it has not run the request, or if nothing was sent. So requests that still run when
    their window is reported are in it, and an attempt without an outcome counts.
    """

    settings: UsageSettings
    windows: dict[int, dict[str, int]] = field(factory=dict)

    def record_begun(self, workspace: str, unix_s: float) -> int:
        """Count an attempt and return its window."""
        window = self.settings.window_at(unix_s)
        counts = self.windows.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        return window

    def retract(self, workspace: str, window: int) -> None:
        """Remove an attempt that no target began to run."""
        counts = self.windows.get(window, {})
        if counts.get(workspace, 0) > 0:
            counts[workspace] -= 1

    def counts(self, window: int) -> dict[str, int]:
        """Return a copy of the counts above 0 of a window."""
        return {name: n for name, n in self.windows.get(window, {}).items() if n > 0}

    def first_kept(self, unix_s: float) -> int:
        """Return the first window whose counts may still be needed."""
        return self.settings.window_at(unix_s - self.settings.due_after_ms / 1000) - KEPT_WINDOWS

    def prune(self, unix_s: float) -> None:
        """Remove the windows whose reports were due some time ago."""
        first = self.first_kept(unix_s)
        self.windows = {w: counts for w, counts in self.windows.items() if w >= first}


@define
class UsageMeter:
    """Counts attempts at the present true time, for the gateway."""

    counter: UsageCounter
    true_time: TrueTime

    def record_begun(self, workspace: str, now_s: float) -> int:
        """Count an attempt that is sent now and return its window."""
        return self.counter.record_begun(workspace, self.true_time.unix_s(now_s))

    def retract(self, workspace: str, window: int) -> None:
        """Remove an attempt that no target began to run."""
        self.counter.retract(workspace, window)
