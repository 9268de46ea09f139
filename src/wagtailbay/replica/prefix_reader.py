"""Replication from a store in which a watch covers a single key prefix."""

import random
from collections.abc import Callable
from functools import partial
from math import inf

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.logs import log_event
from wagtailbay.replica.const import (
    LIST_INTERVAL_S,
    MAX_PREFIX_BACKOFF_S,
    MIN_PREFIX_BACKOFF_S,
    NON_WATCHER_WAIT_FACTOR,
    PREFIX_STALE_AFTER_S,
    PREFIX_WATCH_PAUSE_S,
    PREFIX_WATCH_TIMEOUT_MS,
    RARE_PREFIX_WATCH_TIMEOUT_MS,
    ROLE_CHECK_INTERVAL_S,
)
from wagtailbay.replica.replica import Freshness, Replica
from wagtailbay.replica.signal import ChangeSignal
from wagtailbay.replica.store_contact import StoreContact
from wagtailbay.store import HistoryLost, ObjectStore, StoreUnavailable, WatchInterrupted
from wagtailbay.supervision import keep_running


@define
class PrefixState:
    """Replication state of one prefix.

    Attributes:
        revision: Store revision up to which every change under the prefix is known; None if the
            prefix must be listed first.
        confirmed_s: Time at which the request with the latest response was sent.
        failures: Number of consecutive failed calls.
        interruptions: Number of watches that were interrupted since the last response.
    """

    revision: int | None = None
    confirmed_s: float = float("-inf")
    failures: int = 0
    interruptions: int = 0


@define
class PrefixReader:
    """Reader that replicates each prefix of the store in its own task.

    The replica's revision is the lowest revision of all prefixes, and its age that of the oldest
    response. Only the VMs selected as watchers watch the store. Other VMs receive changes from
    their peers, and list the store themselves if no recent update arrives. A watch whose connection
    is cut fails only after its timeout, so a watcher also probes the store in short intervals.

    Attributes:
        is_watcher: Returns whether this VM is currently a watcher.
        contact: Outcome of the latest calls.
        on_failure: Called with the current time when a call fails.
        min_list_interval_s: Returns the shortest interval between two listings of a VM that does
            not watch, so that the whole fleet stays within the read rate of the store.
        rare_prefixes: Prefixes that change rarely. Their watches last longer and do not count for
            the age of the replica; at least one prefix must not be among them.
        peer_wait_s: How long to wait after the start for objects from peers, and to learn from them
            which VMs watch. When a whole fleet starts, every VM would list the store otherwise.
        probe_interval_s: How often a watcher probes the store, which is also the time allowed for
            an answer; infinity for never.
        states: Replication state by prefix.
        reads_store: Whether this VM calls the store, as of the last check.
        began_reading: Notified when this VM begins to call the store.
        started_s: When this VM started to replicate.
    """

    store: ObjectStore
    replica: Replica
    freshness: Freshness
    is_watcher: Callable[[], bool]
    clock: Callable[[], float]
    random: random.Random
    prefixes: tuple[str, ...]
    contact: StoreContact = field(factory=StoreContact)
    on_failure: Callable[[float], None] = lambda now_s: None
    min_list_interval_s: Callable[[], float] = lambda: 0.0
    rare_prefixes: frozenset[str] = frozenset()
    peer_wait_s: float = 0.0
    probe_interval_s: float = inf
    reads_store: bool = False
    began_reading: ChangeSignal = field(factory=ChangeSignal)
    states: dict[str, PrefixState] = field(factory=dict)
    started_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Record the start time."""
        self.started_s = self.clock()

    async def run(self) -> None:
        """Replicate all prefixes until cancelled."""
        self.states = {prefix: PrefixState() for prefix in self.prefixes}
        async with trio.open_nursery() as nursery:
            for prefix, state in self.states.items():
                task = partial(self._run_prefix, prefix, state)
                nursery.start_soon(keep_running, task, f"replicate {prefix}")
            nursery.start_soon(keep_running, self._follow_role, "store_role")
            nursery.start_soon(keep_running, self._probe_store, "store_probe")

    async def _follow_role(self) -> None:
        """Wake the tasks of the prefixes when this VM has to call the store."""
        while True:
            reads_store = self._should_read_store()
            if reads_store != self.reads_store:
                self.reads_store = reads_store
                log_event(
                    "store_role",
                    reads_store=reads_store,
                    is_watcher=self.is_watcher(),
                    confirmed_age_ms=self.freshness.age_ms(self.clock()),
                )
                if reads_store:
                    self.began_reading.notify()
            await trio.sleep(ROLE_CHECK_INTERVAL_S)

    async def _probe_store(self) -> None:
        """Notice early that a watcher no longer reaches the store."""
        while True:
            await trio.sleep(self.probe_interval_s)
            if self.is_watcher() and not self.contact.is_failing:
                probed = await self.store.probe(round(self.probe_interval_s * 1000))
                if isinstance(probed, Err):
                    self.contact.record_failure(probed.err_value.message)

    async def _run_prefix(self, prefix: str, state: PrefixState) -> None:
        # After an unexpected error, changes since the last listing may be missing.
        state.revision = None
        while True:
            if state.failures or state.interruptions:
                await trio.sleep(self._backoff_s(state))
            if not self._should_read_store():
                state.revision = None
                with trio.move_on_after(LIST_INTERVAL_S * self.random.uniform(0.4, 0.6)):
                    await self.began_reading.wait()
            elif state.revision is not None and self.is_watcher():
                await self._watch(prefix, state)
            else:
                await self._list(prefix, state)
                if not self.is_watcher():
                    interval_s = max(LIST_INTERVAL_S, self.min_list_interval_s())
                    await trio.sleep(interval_s * self.random.uniform(0.8, 1.2))

    def _should_read_store(self) -> bool:
        """Return whether this VM must call the store instead of relying on its peers."""
        now_s = self.clock()
        if now_s - self.started_s < self.peer_wait_s:
            return False
        if self.is_watcher():
            return True
        age_ms = self.freshness.age_ms(now_s)
        if age_ms is None:
            return now_s - self.started_s >= NON_WATCHER_WAIT_FACTOR * self.peer_wait_s
        return age_ms > PREFIX_STALE_AFTER_S * 1000

    def _backoff_s(self, state: PrefixState) -> float:
        max_delay_s = min(
            MAX_PREFIX_BACKOFF_S, MIN_PREFIX_BACKOFF_S * 2 ** min(max(0, state.failures - 1), 6)
        )
        return max_delay_s * self.random.uniform(0.5, 1.0)

    async def _list(self, prefix: str, state: PrefixState) -> None:
        requested_s = self.clock()
        match await self.store.list((prefix,)):
            case Ok(listing):
                self.replica.replace_prefix(prefix, listing.objects, listing.revision)
                self._record_response(state, listing.revision, requested_s)
            case Err(error):
                self._record_failure(state, error)

    async def _watch(self, prefix: str, state: PrefixState) -> None:
        requested_s = self.clock()
        is_rare = prefix in self.rare_prefixes
        timeout_ms = RARE_PREFIX_WATCH_TIMEOUT_MS if is_rare else PREFIX_WATCH_TIMEOUT_MS
        match await self.store.watch((prefix,), state.revision, timeout_ms):
            case Ok(listing):
                self.replica.apply(listing.objects, self.replica.revision)
                self._record_response(state, listing.revision, requested_s)
                if listing.objects:
                    # Collects changes made in quick succession into one call.
                    await trio.sleep(PREFIX_WATCH_PAUSE_S)
            case Err(HistoryLost()):
                log_event("store_history_lost", prefix=prefix, revision=state.revision)
                state.revision = None
            case Err(WatchInterrupted(message)):
                # The store may be well, so the next watch continues at the same revision. If that
                # is interrupted too, a listing shows whether the store answers.
                log_event("store_watch_interrupted", prefix=prefix, reason=message)
                state.interruptions += 1
                if state.interruptions > 1:
                    state.revision = None
            case Err(error):
                self._record_failure(state, error)

    def _record_response(self, state: PrefixState, revision: int, requested_s: float) -> None:
        """Record a response, which confirms the state at the time its request was sent."""
        state.revision = max(revision, state.revision or 0)
        state.confirmed_s, state.failures, state.interruptions = requested_s, 0, 0
        self.contact.record_success(requested_s, revision)
        prefix_states = self.states.values()
        if all(other.revision is not None for other in prefix_states):
            lowest = min(other.revision for other in prefix_states if other.revision is not None)
            self.replica.apply((), lowest)
            frequent = [s for p, s in self.states.items() if p not in self.rare_prefixes]
            self.freshness.confirm(min(other.confirmed_s for other in frequent))

    def _record_failure(self, state: PrefixState, error: StoreUnavailable) -> None:
        """Record a failed call and force a listing next, since a response may have been lost."""
        self.contact.record_failure(error.message)
        state.failures += 1
        state.revision = None
        self.on_failure(self.clock())
