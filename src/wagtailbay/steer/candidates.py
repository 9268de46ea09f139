"""Find the targets that can take a request and evaluate their load."""

from collections.abc import Callable, Sequence

from attrs import define, field, frozen

from wagtailbay.config import FleetDocument, ServiceDocument, Target
from wagtailbay.health import OutlierDetector, TargetHealthSource, TargetState, TargetView
from wagtailbay.steer.const import PPM, SNAPSHOT_TTL_S
from wagtailbay.steer.eligible import EligibleTarget, Evaluate, TargetGroup, group_targets
from wagtailbay.steer.latency import LatencyTracker
from wagtailbay.steer.load_estimator import LoadEstimator
from wagtailbay.steer.models import Candidate, TargetQuery, WeightSource
from wagtailbay.steer.slow_start import SlowStart


@frozen
class _Topology:
    """Region of each target and slots of each region, derived from a service and a fleet."""

    service: ServiceDocument
    fleet: FleetDocument | None
    region: dict[str, str]
    slots: dict[str, float]


@frozen
class Candidates:
    """Targets that can take a request, and the health of each region.

    Attributes:
        matching: Targets that the request may use; empty if there are none.
        usable: Usable targets of any version.
        healthy_fraction: Usable slots divided by all slots of the service, by region.
        groups: Cache of the target groups requested so far.
    """

    matching: tuple[EligibleTarget, ...]
    usable: tuple[EligibleTarget, ...]
    healthy_fraction: dict[str, float]
    groups: dict[tuple[str, str], TargetGroup] = field(factory=dict)

    def in_region(self, region: str) -> TargetGroup:
        """Return the matching targets in a region."""
        return self._group("region", region, lambda eligible: eligible.region == region)

    def in_zone(self, zone: str) -> TargetGroup:
        """Return the matching targets in an availability zone."""
        return self._group("zone", zone, lambda eligible: eligible.target.availability_zone == zone)

    def outside_zone(self, region: str, zone: str) -> TargetGroup:
        """Return the matching targets in a region, excluding one availability zone."""
        return self._group(
            "outside",
            zone,
            lambda eligible: eligible.region == region
            and eligible.target.availability_zone != zone,
        )

    def _group(
        self, kind: str, name: str, predicate: Callable[[EligibleTarget], bool]
    ) -> TargetGroup:
        cached = self.groups.get((kind, name))
        if cached is None:
            cached = group_targets([eligible for eligible in self.matching if predicate(eligible)])
            self.groups[(kind, name)] = cached
        return cached


@define(eq=False)
class _Snapshot:
    """Short-lived cache of the targets of a service that can take requests.

    Attributes:
        key: Inputs of the snapshot; a different key invalidates it immediately.
        expires_s: When the snapshot expires if its inputs do not change.
        not_drained: Targets that are not drained, healthy or not.
        by_version: Candidates of first attempts, by requested version.
    """

    key: tuple
    expires_s: float
    usable: tuple[EligibleTarget, ...]
    not_drained: tuple[EligibleTarget, ...]
    healthy_fraction: dict[str, float]
    by_version: dict[str | None, Candidates] = field(factory=dict)

    def candidates(self, query: TargetQuery) -> Candidates:
        """Return the candidates for a query; candidates of first attempts are cached."""
        if query.excluded:
            return self._build(query)
        cached = self.by_version.get(query.version)
        if cached is None:
            cached = self.by_version[query.version] = self._build(query)
        return cached

    def _build(self, query: TargetQuery) -> Candidates:
        matching = _matching_targets(self.usable, query) or _matching_targets(
            self.not_drained, query
        )
        return Candidates(matching, self.usable, self.healthy_fraction)


@define
class CandidateFinder:
    """Finds candidates from health probes, outlier ejections, drains, local load and slow start.

    Attributes:
        eject: Test-only switch; False also uses targets that probes or requests mark unhealthy.
        drain: Test-only switch; False also sends requests to targets that report draining.
        topologies: Latest topology of each service.
        snapshots: Latest snapshot of each service.
    """

    states: TargetHealthSource
    outliers: OutlierDetector
    weights: WeightSource
    load_estimator: LoadEstimator = field(factory=LoadEstimator)
    latency_tracker: LatencyTracker = field(factory=LatencyTracker)
    slow_start: SlowStart = field(factory=SlowStart)
    eject: bool = True
    drain: bool = True
    topologies: dict[str, _Topology] = field(factory=dict)
    snapshots: dict[str, _Snapshot] = field(factory=dict)

    def find(self, query: TargetQuery, fleet: FleetDocument | None, now_s: float) -> Candidates:
        """Return the targets that can take a request.

        If no target is usable, failed and ejected targets are returned instead: probes and
        ejections may be wrong, and a refused connection is detected quickly. Draining targets are
        never returned.
        """
        service = query.service
        snapshot = self.snapshots.get(service.service)
        key = (service, fleet, self.states.generation(now_s), self.outliers.ejection_count)
        key += (self.eject, self.drain)
        if (
            snapshot is None
            or snapshot.key != key
            or not 0 <= snapshot.expires_s - now_s <= SNAPSHOT_TTL_S
        ):
            self._update_topology(service, fleet)
            snapshot = self._take_snapshot(service, key, now_s)
            self.snapshots[service.service] = snapshot
        return snapshot.candidates(query)

    def evaluator(self, service: str, now_s: float) -> Evaluate:
        """Return a function that evaluates a target's current load, once per target."""
        evaluated: dict[str, Candidate] = {}

        def evaluate(eligible: EligibleTarget) -> Candidate:
            target = eligible.target
            cached = evaluated.get(target.target)
            if cached is None:
                view = self.states.view(service, target.target, now_s)
                slots = min(target.slots, view.slots or target.slots)
                local_in_flight, load = self.load_estimator.loads(
                    service, target.target, view, slots, now_s
                )
                slowness = self.latency_tracker.slowness(service, target.target, now_s)
                cached = Candidate(
                    target,
                    eligible.region,
                    local_in_flight,
                    load,
                    eligible.slots,
                    eligible.weight_ppm,
                    slowness,
                )
                evaluated[target.target] = cached
            return cached

        return evaluate

    def _take_snapshot(self, service: ServiceDocument, key: tuple, now_s: float) -> _Snapshot:
        views = {
            t.target: self.states.view(service.service, t.target, now_s) for t in service.targets
        }
        weighted_targets = [
            (target, weight)
            for target in service.targets
            if (weight := self._weight_ppm(service, target, views[target.target], now_s)) > 0
        ]
        healthy_names = {
            target.target
            for target, _ in weighted_targets
            if self._is_healthy(service.service, target, views[target.target], now_s)
        }
        usable_now = {target.target: target.target in healthy_names for target in service.targets}
        self.slow_start.observe(service.service, usable_now, now_s)
        not_drained = tuple(
            self._eligible(service, target, weight, views[target.target], now_s)
            for target, weight in weighted_targets
        )
        usable = tuple(
            eligible for eligible in not_drained if eligible.target.target in healthy_names
        )
        # The state of drained, failed, ejected and recovering targets changes with time alone, so
        # a snapshot with any of these expires immediately.
        is_stable = len(healthy_names) == len(service.targets) and not service.drains
        is_stable = is_stable and all(
            eligible.slots >= 1 and eligible.weight_ppm == PPM for eligible in usable
        )
        is_stable = is_stable and not self.slow_start.is_ramping(service.service, now_s)
        expires_s = now_s + SNAPSHOT_TTL_S if is_stable else now_s
        healthy_fractions = self._healthy_fractions(service.service, usable)
        return _Snapshot(key, expires_s, usable, not_drained, healthy_fractions)

    def _weight_ppm(
        self, service: ServiceDocument, target: Target, view: TargetView, now_s: float
    ) -> int:
        if self.drain and view.state is TargetState.DRAINING:
            return 0
        return self.weights.weight_ppm(service, target, now_s)

    def _is_healthy(self, service: str, target: Target, view: TargetView, now_s: float) -> bool:
        if not self.eject:
            return True
        if self.outliers.is_ejected(service, target.target, now_s):
            return False
        if view.state is not TargetState.FAILED:
            return True
        return self.load_estimator.responded_recently(service, target.target, now_s)

    def _eligible(
        self,
        service: ServiceDocument,
        target: Target,
        weight_ppm: int,
        view: TargetView,
        now_s: float,
    ) -> EligibleTarget:
        slots = min(target.slots, view.slots or target.slots)
        factor = self.slow_start.factor(service.service, target.target, now_s)
        region = self.topologies[service.service].region[target.target]
        return EligibleTarget(target, region, slots * factor, weight_ppm)

    def _healthy_fractions(
        self, service: str, usable: Sequence[EligibleTarget]
    ) -> dict[str, float]:
        slots = self.topologies[service].slots
        healthy_slots = dict.fromkeys(slots, 0.0)
        for eligible in usable:
            healthy_slots[eligible.region] += eligible.slots * eligible.weight_ppm / PPM
        return {region: healthy_slots[region] / slots[region] for region in slots}

    def _update_topology(self, service: ServiceDocument, fleet: FleetDocument | None) -> None:
        """Rebuild the topology of a service if its document or the fleet document has changed."""
        current = self.topologies.get(service.service)
        if current is not None and current.service is service and current.fleet is fleet:
            return
        names = frozenset(t.target for t in service.targets)
        self.load_estimator.prune(service.service, names)
        self.latency_tracker.prune(service.service, names)
        region = {t.target: region_of(t, fleet) for t in service.targets}
        slots: dict[str, float] = {}
        for target in service.targets:
            name = region[target.target]
            slots[name] = slots.get(name, 0.0) + target.slots
        self.topologies[service.service] = _Topology(service, fleet, region, slots)


def region_of(target: Target, fleet: FleetDocument | None) -> str:
    """Return a target's region, or an empty string if the fleet document does not list its zone."""
    return (fleet.region_of(target.availability_zone) if fleet else None) or ""


def _matching_targets(
    targets: Sequence[EligibleTarget], query: TargetQuery
) -> tuple[EligibleTarget, ...]:
    return tuple(
        eligible
        for eligible in targets
        if query.version in (None, eligible.target.version)
        and eligible.target.target not in query.excluded
    )
