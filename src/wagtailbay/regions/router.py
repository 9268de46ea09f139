"""Apply the plan to this VM's requests."""

from collections.abc import Collection

from attrs import define, field

from wagtailbay.logs import log_event
from wagtailbay.placement import LoadReport
from wagtailbay.regions.const import (
    EXECUTED_FRACTION,
    LAST_FRACTION,
    LOGGED_SHARE_CHANGE,
    MAX_PLAN_AGE_S,
    OPTIONAL_FRACTION,
    PLANNED_FRACTION,
    WINDOW_S,
)
from wagtailbay.regions.plan import RegionShares, shift
from wagtailbay.regions.shares import ServiceShares, position_of
from wagtailbay.regions.traffic import TrafficCounter
from wagtailbay.regions.window import ShiftLimiter


@define
class RegionRouter:
    """Decides in which region each request of this VM runs; implements ``RegionPlan``.

    Attributes:
        max_region_shift: Share of a region's requests that may change the region in which they run
            from one window of 2 s to the next.
        services: Shares by service.
        limiters: Limiter of each service. One for all would take a changed mix of services, which
            run in different regions, for requests that change their region.
        plans: The newest plan of all regions, by service.
        logged: Shares of this region that were last logged, by service.
    """

    region: str
    max_region_shift: float
    counter: TrafficCounter = field(init=False)
    services: dict[str, ServiceShares] = field(factory=dict)
    limiters: dict[str, ShiftLimiter] = field(factory=dict)
    plans: dict[str, RegionShares] = field(factory=dict)
    logged: dict[str, dict[str, float]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the counters of this VM's requests."""
        self.counter = TrafficCounter(self.region)

    def limiter_of(self, service: str) -> ShiftLimiter:
        """Return the limiter of a service."""
        limiter = self.limiters.get(service)
        if limiter is None:
            max_shift = EXECUTED_FRACTION * self.max_region_shift
            limiter = self.limiters[service] = ShiftLimiter(max_shift)
        return limiter

    def adopt(
        self, service: str, plan: RegionShares, executed_away: float, now_s: float, *, at_once: bool
    ) -> None:
        """Put a new plan in force.

        Args:
            executed_away: Share of the region's requests that ran in other regions so far, from
                which the shares start unless a plan is in force.
        """
        state = self.services.get(service)
        is_first = state is None
        if state is None:
            step_per_s = PLANNED_FRACTION * self.max_region_shift / WINDOW_S
            state = self.services[service] = ServiceShares(step_per_s)
        was_in_force = self._is_in_force(state, now_s)
        self.plans[service] = plan
        goals = dict(plan.get(self.region, {}))
        state.adopt(goals, now_s, at_once=at_once)
        if is_first or (at_once and goals):
            # Compared with the requests before the first plan, all later ones would be held back.
            self.limiter_of(service).reset()
        if not was_in_force and not at_once:
            state.seed(executed_away, now_s)
        logged = self.logged.get(service, {})
        if shift(logged, goals) >= LOGGED_SHARE_CHANGE or bool(logged) != bool(goals):
            self.logged[service] = goals
            log_event(
                "region_plan_changed",
                service=service,
                region=self.region,
                shares={to: round(share, 3) for to, share in sorted(goals.items())},
                at_once=at_once,
            )

    def forget(self, service: str) -> None:
        """Remove the state of a service that has had no demand for a while."""
        for state in (self.services, self.limiters, self.plans, self.logged):
            state.pop(service, None)

    def assign(
        self, service: str, has_local: bool, now_s: float, affinity: str | None = None
    ) -> str | None:
        """Return the region in which the next request runs; None if no plan is in force."""
        state = self.services.get(service)
        if state is None or not self._is_in_force(state, now_s):
            return None
        state.follow(has_local, now_s)
        position = None if affinity is None else position_of(service, affinity)
        return state.assign(position) or self.region

    def away_share(self, service: str) -> float:
        """Return the share of requests that runs in other regions."""
        state = self.services.get(service)
        return 0.0 if state is None else state.away

    def alternatives(self, service: str, planned: str) -> list[str]:
        """Return the regions for a request that finds no capacity in the planned one."""
        state = self.services[service]
        # Shares that fall to a goal of 0 still have their requests in the region.
        shares = dict.fromkeys(state.shares, 0.0) | state.goals
        regions = [*sorted(shares, key=lambda to: (-shares[to], to)), self.region]
        return [region for region in regions if region != planned]

    def allows(
        self,
        service: str,
        region: str,
        usable: Collection[str],
        now_s: float,
        *,
        is_optional: bool = False,
        is_last: bool = False,
    ) -> bool:
        """Return whether a request may run in a region without too many changing theirs."""
        if is_optional:
            return self.limiter_of(service).allows(
                region, usable, now_s, fraction=OPTIONAL_FRACTION
            )
        extra = (LAST_FRACTION - EXECUTED_FRACTION) * self.max_region_shift if is_last else 0.0
        return self.limiter_of(service).allows(region, usable, now_s, extra)

    def is_sender(self, service: str, region: str, now_s: float) -> bool:
        """Return whether the plan relieves a region, so that it gets no requests of others."""
        state = self.services.get(service)
        is_fresh = state is not None and now_s - state.planned_s < MAX_PLAN_AGE_S
        return is_fresh and region in self.plans[service]

    def record_demand(self, service: str, latency_goal_ms: float, now_s: float) -> None:
        """Count a request that the plan may send to any region."""
        self.counter.record_demand(service, latency_goal_ms, now_s)

    def record_first_attempt(
        self, service: str, region: str, now_s: float, *, is_restricted: bool
    ) -> None:
        """Count a request in the region in which it runs.

        Args:
            is_restricted: Whether the request may run in certain regions only, so that the plan
                does not concern it.
        """
        traffic = self.counter.of(service)
        if is_restricted:
            traffic.pinned[region] = traffic.pinned.get(region, 0) + 1
            return
        self.limiter_of(service).record(region, now_s)
        if region != self.region:
            traffic.away[region] = traffic.away.get(region, 0) + 1

    def record_retry(self, service: str, before: str, region: str, now_s: float) -> None:
        """Count a request in the region of its second attempt instead of that of the first."""
        limiter = self.limiter_of(service)
        limiter.record(before, now_s, -1)
        limiter.record(region, now_s)

    def record_answer(
        self, service: str, region: str, latency_ms: float, report: LoadReport | None
    ) -> None:
        """Record how long an answered request took."""
        self.counter.of(service).record_answer(region, latency_ms, report)

    def _is_in_force(self, state: ServiceShares, now_s: float) -> bool:
        return now_s - state.planned_s < MAX_PLAN_AGE_S and state.is_in_force()
