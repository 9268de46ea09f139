"""Divide the rate limit of each workspace among the VMs in proportion to their demand."""

import random
from collections import deque
from collections.abc import Callable
from math import isfinite

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.limits import DecayingRate, TokenBucket
from wagtailbay.membership import FactTable, FleetAggregator, FleetLayout
from wagtailbay.quota.const import (
    BORROW_BACKOFF_S,
    BURST_FRACTION,
    CONTACT_TIMEOUT_S,
    DEMAND_INTERVAL_S,
    DEMAND_KIND,
    DEMAND_TTL_MS,
    DEMAND_WINDOW_S,
    EQUAL_FRACTION,
    FLEET_MIN_BURST_FACTOR,
    LARGE_FLEET_VM_MIN_BURST,
    MAX_BORROW_DEMAND_FRACTION,
    MAX_RETRY_AFTER_MS,
    MAX_SHARE_GROWTH_PER_S,
    MIN_RETRY_AFTER_MS,
    OWN_DEMAND_DELAY_S,
    REASSIGNED_SHARE_FRACTION,
    SHARE_REASSIGNED_AFTER_S,
    SMALL_FLEET_VM_MIN_BURST,
)
from wagtailbay.quota.models import DemandFact, RateExceeded, WorkspaceDemand
from wagtailbay.requirements import FleetRequirements
from wagtailbay.routing import Workspace


@define
class WorkspaceQuota:
    """Admits requests within this VM's share of each workspace's rate.

    Each VM publishes its demand, and its share is its fraction of the total demand. So the shares
    of all VMs that are in contact add up to one once demand is steady.

    Attributes:
        fleet_size: Returns the number of VMs that divide the rate equally while no demand is known.
        contact_age_s: Returns the time since a peer was last heard, infinity if never.
        layout: Returns the division of the fleet into cells.
        demand: Request rate of each workspace at this VM.
        published: Recently published demand with its time. The first entry is as old as the known
            demand of the other VMs.
        others_per_s: Demand of each workspace at all other VMs.
        shares: The last share of each workspace that was computed in contact with the fleet, with
            the time.
        borrow_backoff_until_s: By workspace, until when no loan is requested.
    """

    facts: FactTable
    fleet_size: Callable[[], int]
    contact_age_s: Callable[[float], float]
    clock: Callable[[], float]
    random: random.Random
    layout: Callable[[], FleetLayout] = lambda: FleetLayout({}, {})
    requirements: FleetRequirements = field(factory=FleetRequirements)
    aggregator: FleetAggregator = field(init=False)
    demand: dict[str, DecayingRate] = field(factory=dict)
    published: deque[tuple[float, dict[str, float]]] = field(factory=deque)
    others_per_s: dict[str, float] = field(factory=dict)
    shares: dict[str, tuple[float, float]] = field(factory=dict)
    buckets: dict[str, TokenBucket] = field(factory=dict)
    borrow_backoff_until_s: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the aggregation of demand over the fleet."""
        self.aggregator = FleetAggregator(
            DEMAND_KIND, DemandFact, self.facts, self.layout, DEMAND_TTL_MS
        )

    async def run(self) -> None:
        """Exchange demand with the other VMs periodically until cancelled."""
        while True:
            self.exchange(self.clock())
            await trio.sleep(DEMAND_INTERVAL_S * self.random.uniform(0.9, 1.1))

    def exchange(self, now_s: float) -> None:
        """Publish this VM's demand and update the total demand of the other VMs."""
        own = {name: round(rate.at(now_s), 2) for name, rate in self.demand.items()}
        demand_per_s = {name: per_s for name, per_s in own.items() if per_s > 0}
        self.published.append((now_s, demand_per_s))
        while len(self.published) > 1 and self.published[1][0] <= now_s - OWN_DEMAND_DELAY_S:
            self.published.popleft()
        is_delegate = self.layout().is_delegate(self.facts.vm)
        own = WorkspaceDemand(demand_per_s)
        total = self.aggregator.publish_and_merge("all", own, now_s, urgent=is_delegate)
        self.others_per_s = {
            name: max(0.0, per_s - demand_per_s.get(name, 0.0))
            for name, per_s in total.per_s.items()
        }

    def share(self, workspace: str, now_s: float) -> float:
        """Return this VM's share of a workspace's rate, between 0 and 1."""
        equal_share = 1.0 / max(1, self.fleet_size())
        age_s = self.contact_age_s(now_s)
        if age_s > CONTACT_TIMEOUT_S:
            _, previous_share = self.shares.get(workspace, (now_s, equal_share))
            return (
                previous_share * REASSIGNED_SHARE_FRACTION
                if age_s > SHARE_REASSIGNED_AFTER_S
                else previous_share
            )
        # Use demand as old as that known of other VMs; during a rise, newer demand looks too large.
        own_per_s = self.published[0][1].get(workspace, 0.0) if self.published else 0.0
        total_per_s = own_per_s + self.others_per_s.get(workspace, 0.0)
        demand_share = own_per_s / total_per_s if total_per_s > 0 else equal_share
        share = EQUAL_FRACTION * equal_share + (1 - EQUAL_FRACTION) * demand_share
        last_share_s, last_share = self.shares.get(workspace, (now_s, equal_share))
        share = min(share, last_share + MAX_SHARE_GROWTH_PER_S * max(0.0, now_s - last_share_s))
        self.shares[workspace] = (now_s, share)
        return share

    def admit(self, workspace: Workspace, now_s: float) -> Result[None, RateExceeded]:
        """Record a request and admit it if the VM's share has a token left."""
        if workspace.rate_per_s <= 0:
            return Ok(None)
        name = workspace.workspace
        self.demand.setdefault(name, DecayingRate(DEMAND_WINDOW_S)).record(1.0, now_s)
        bucket = self._bucket(workspace, now_s)
        if bucket.take(1.0, now_s):
            return Ok(None)
        rate_per_s = bucket.rate_per_s
        wait_s = bucket.wait_s(1.0)
        wait_ms = wait_s * 1000 if isfinite(wait_s) else MAX_RETRY_AFTER_MS
        wait_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        return Err(RateExceeded(rate_per_s, wait_ms))

    def _bucket(self, workspace: Workspace, now_s: float) -> TokenBucket:
        """Return the token bucket of a workspace, resized to this VM's current share."""
        name, share = workspace.workspace, self.share(workspace.workspace, now_s)
        rate_per_s = workspace.rate_per_s * share
        fleet_min_burst = FLEET_MIN_BURST_FACTOR * self.requirements.quota_slack
        min_capacity = min(
            SMALL_FLEET_VM_MIN_BURST,
            max(LARGE_FLEET_VM_MIN_BURST, fleet_min_burst / max(1, self.fleet_size())),
        )
        capacity = max(min_capacity, workspace.burst * BURST_FRACTION * share)
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = TokenBucket(rate_per_s, capacity, capacity, now_s)
        else:
            bucket.resize(rate_per_s, capacity, now_s)
        return bucket

    def may_borrow(self, workspace: Workspace, now_s: float) -> bool:
        """Return whether it is worth asking other VMs for a token of a workspace."""
        name = workspace.workspace
        if self.contact_age_s(now_s) > CONTACT_TIMEOUT_S:
            return False
        if now_s < self.borrow_backoff_until_s.get(name, now_s):
            return False
        return self._allows_loans(workspace, now_s)

    def _allows_loans(self, workspace: Workspace, now_s: float) -> bool:
        """Return whether demand is low enough that loans cannot exceed the workspace's rate."""
        own = self.demand.get(workspace.workspace)
        asked_per_s = self.others_per_s.get(workspace.workspace, 0.0)
        asked_per_s += own.at(now_s) if own is not None else 0.0
        return asked_per_s <= MAX_BORROW_DEMAND_FRACTION * workspace.rate_per_s

    def start_borrow_backoff(self, workspace: Workspace, now_s: float) -> None:
        """Suspend loan requests of a workspace after no VM lent a token."""
        self.borrow_backoff_until_s[workspace.workspace] = now_s + BORROW_BACKOFF_S

    def lend(self, workspace: Workspace, now_s: float) -> float:
        """Lend one token if available; return the number of tokens lent."""
        if workspace.rate_per_s <= 0 or self.contact_age_s(now_s) > CONTACT_TIMEOUT_S:
            return 0.0
        if not self._allows_loans(workspace, now_s):
            return 0.0
        return 1.0 if self._bucket(workspace, now_s).take(1.0, now_s) else 0.0
