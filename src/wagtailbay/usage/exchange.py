"""Exchange the counts of windows between VMs and add them up."""

from collections.abc import Callable
from functools import reduce
from math import inf

import trio
from attrs import define, evolve, field

from wagtailbay.membership import FactTable, FleetLayout
from wagtailbay.membership.aggregate import add_counts
from wagtailbay.usage.const import (
    CATCH_UP_S,
    CLOSE_DELAY_S,
    EXCHANGE_INTERVAL_S,
    KEPT_WINDOWS,
    MAX_REQUESTS,
    RESUME_GAP_S,
    USAGE_CELL_KIND,
    USAGE_KIND,
)
from wagtailbay.usage.counter import UsageCounter
from wagtailbay.usage.models import CellUsage, UsageSettings, WindowUsage, run_name
from wagtailbay.usage.true_time import TrueTime, as_unix_ms


@define
class UsageExchange:
    """Publishes this VM's counts, and the sum of its cell if it is a delegate.

    Facts of each run of a VM have keys of their own, so that the counts of a run that has ended
    remain. Each sum names the runs in it. A total never adds two sums that have a run in common, so
    changes of delegates and cells count no run twice.

    Attributes:
        run: Identifies this process.
        started_s: From when on this process has counted, on the steady clock.
        exchanged_s: When counts were last published.
        current_from_s: From when on this process has heard of the others since it was stopped.
        published: What was published last, by kind and window.
    """

    settings: UsageSettings
    run_id: str
    counter: UsageCounter
    true_time: TrueTime
    facts: FactTable
    layout: Callable[[], FleetLayout]
    clock: Callable[[], float]
    started_s: float
    exchanged_s: float = float("-inf")
    current_from_s: float = 0.0
    published: dict[tuple[str, int], WindowUsage | CellUsage] = field(factory=dict)

    def is_current(self, now_s: float) -> bool:
        """Return whether this process has run for long enough to have the counts of the others."""
        return now_s - self.exchanged_s <= RESUME_GAP_S and now_s >= self.current_from_s

    async def run(self) -> None:
        """Publish counts periodically until cancelled."""
        while True:
            self.exchange(self.clock())
            await trio.sleep(EXCHANGE_INTERVAL_S)

    @property
    def ttl_ms(self) -> int:
        """Return how long facts are kept: until the report is due, and for some windows more."""
        window_ms = (1 + KEPT_WINDOWS) * self.settings.report_window_ms
        return round(window_ms + self.settings.due_after_ms)

    def exchange(self, now_s: float) -> None:
        """Publish what has changed since the last time."""
        if now_s - self.exchanged_s > RESUME_GAP_S:
            self.current_from_s = now_s + CATCH_UP_S
        self.exchanged_s = now_s
        self.true_time.update(now_s)
        unix_s = self.true_time.unix_s(now_s)
        self.counter.prune(unix_s)
        first, last = self.counter.first_kept(unix_s), self.settings.window_at(unix_s)
        started_unix_s = self.true_time.unix_s(self.started_s)
        is_delegate = self.layout().is_delegate(self.facts.vm)
        for window in range(first, last + 1):
            if self.settings.end_s(window) <= started_unix_s:
                continue
            usage = self._own_usage(window, now_s)
            if usage.closed or usage.counts:
                self._publish(USAGE_KIND, usage, now_s)
            if is_delegate and usage.closed:
                cell_usage = self._cell_usage(window, now_s)
                if cell_usage is not None:
                    self._publish(USAGE_CELL_KIND, cell_usage, now_s)
        self.published = {k: u for k, u in self.published.items() if k[1] >= first}

    def _own_usage(self, window: int, now_s: float) -> WindowUsage:
        closed_s = self.settings.end_s(window) + CLOSE_DELAY_S
        since_ms = as_unix_ms(self.true_time.unix_s(self.started_s))
        closed = self.true_time.unix_s(now_s) >= closed_s
        return WindowUsage(window, since_ms, closed, self.counter.counts(window))

    def _publish(self, kind: str, usage: WindowUsage | CellUsage, now_s: float) -> None:
        last = self.published.get((kind, usage.window))
        if last is not None and evolve(last, since_ms=usage.since_ms) == usage:
            return
        key = f"{usage.window}/{self.run_id}"
        self.facts.publish(kind, key, usage, ttl_ms=self.ttl_ms, now_s=now_s)
        self.published[(kind, usage.window)] = usage

    def _cell_usage(self, window: int, now_s: float) -> CellUsage | None:
        """Return the sum over this VM's cell, including this VM."""
        cell = self.layout().cell_peers(self.facts.vm) | {self.facts.vm}
        parts = self._run_usages(window, now_s)
        return reduce(_add, (usage for vm, usage in parts if vm in cell), None)

    def _run_usages(self, window: int, now_s: float) -> list[tuple[str, CellUsage]]:
        """Return what each run is known to have counted in a window, with its VM."""
        return [
            (fact.vm, _as_sum(run_name(fact.vm, fact.key.rpartition("/")[2]), fact.value))
            for fact in self.facts.of_kind(USAGE_KIND, now_s)
            if fact.value.window == window and fact.vm
        ]

    def total(self, window: int, now_s: float) -> CellUsage | None:
        """Return the total over the fleet as far as it is known here; None if nothing is.

        Larger sums go first, and among sums over the same runs those with more closed runs and the
        newest one.
        """
        sums: list[tuple[float, CellUsage]] = [
            (0.0, usage) for _, usage in self._run_usages(window, now_s)
        ]
        own_cell = self._cell_usage(window, now_s)
        if own_cell is not None:
            sums.append((inf, own_cell))
        for fact in self.facts.of_kind(USAGE_CELL_KIND, now_s):
            if fact.value.window == window and fact.vm != self.facts.vm:
                sums.append((fact.expires_s, fact.value))
        sums.sort(key=lambda item: (len(item[1].runs), len(item[1].closed_runs), item[0]))
        total: CellUsage | None = None
        for _, usage in reversed(sums):
            if total is None or not total.runs & usage.runs:
                total = _add(total, usage)
        return total


def _as_sum(run: str, usage: WindowUsage) -> CellUsage:
    closed, still_open = ((run,), ()) if usage.closed else ((), (run,))
    return CellUsage(usage.window, usage.since_ms, closed, still_open, usage.counts)


def _add(some: CellUsage | None, other: CellUsage) -> CellUsage:
    if some is None:
        return other
    closed = set(some.closed_runs) | set(other.closed_runs)
    return CellUsage(
        some.window,
        min(some.since_ms, other.since_ms),
        tuple(sorted(closed)),
        tuple(sorted((some.runs | other.runs) - closed)),
        {
            workspace: min(count, MAX_REQUESTS)
            for workspace, count in add_counts(some.counts, other.counts).items()
        },
    )
