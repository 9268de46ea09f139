"""Evaluate which targets can take a request."""

from collections.abc import Callable, Sequence

from attrs import define, field, frozen

from wagtailbay.config import FleetDocument, ServiceDocument, Target
from wagtailbay.health import OutlierDetector, TargetState, TargetStates, TargetView
from wagtailbay.steer.belief import LoadBelief
from wagtailbay.steer.const import PPM, SNAPSHOT_S
from wagtailbay.steer.eligible import EligibleTarget, Evaluate, TargetGroup, group_targets
from wagtailbay.steer.latency import LatencyBook
from wagtailbay.steer.models import Candidate, TargetQuery, WeightSource
from wagtailbay.steer.slow_start import SlowStart


@frozen
class _Topology:
    """Hold the region of each target and the slots of each region under two documents."""

    service: ServiceDocument
    fleet: FleetDocument | None
    region: dict[str, str]
    slots: dict[str, float]


@frozen
class Candidates:
    """Hold the targets that can take a request, and the state of each region.

    Attributes:
        for_query: Those that the request may use, empty if there is none.
        usable: The usable targets of any version.
        healthy_fraction: Usable slots through all slots of the service, by region.
        groups: The groups asked for so far.
    """

    for_query: tuple[EligibleTarget, ...]
    usable: tuple[EligibleTarget, ...]
    healthy_fraction: dict[str, float]
    groups: dict[tuple[str, str], TargetGroup] = field(factory=dict)

    def in_region(self, region: str) -> TargetGroup:
        """Return those of a region that can take the request."""
        return self._group("region", region, lambda eligible: eligible.region == region)

    def in_zone(self, zone: str) -> TargetGroup:
        """Return those of an availability zone that can take the request."""
        return self._group("zone", zone, lambda eligible: eligible.target.availability_zone == zone)

    def outside_zone(self, region: str, zone: str) -> TargetGroup:
        """Return those of a region outside one of its availability zones."""
        return self._group(
            "outside",
            zone,
            lambda eligible: eligible.region == region
            and eligible.target.availability_zone != zone,
        )

    def _group(
        self, kind: str, name: str, belongs: Callable[[EligibleTarget], bool]
    ) -> TargetGroup:
        found = self.groups.get((kind, name))
        if found is None:
            found = group_targets([eligible for eligible in self.for_query if belongs(eligible)])
            self.groups[(kind, name)] = found
        return found


@define(eq=False)
class _Snapshot:
    """Hold which targets of a service can take requests, for a short time.

    Attributes:
        key: What it was built from; a difference ends it at once.
        until_s: When it ends without any change.
        not_drained: The targets that are not drained, fit or not.
    """

    key: tuple
    until_s: float
    usable: tuple[EligibleTarget, ...]
    not_drained: tuple[EligibleTarget, ...]
    healthy_fraction: dict[str, float]
    by_version: dict[str | None, Candidates] = field(factory=dict)

    def candidates(self, query: TargetQuery) -> Candidates:
        """Return the targets for a query; those for first tries are kept."""
        if query.excluded:
            return self._build(query)
        found = self.by_version.get(query.version)
        if found is None:
            found = self.by_version[query.version] = self._build(query)
        return found

    def _build(self, query: TargetQuery) -> Candidates:
        matching = _matching(self.usable, query) or _matching(self.not_drained, query)
        return Candidates(matching, self.usable, self.healthy_fraction)


@define
class CandidateFinder:
    """Combine probes, ejections, drains, own counts and slow start.

    Attributes:
        eject: Test-only switch; False uses targets that probes or requests show to be unfit.
        drain: Test-only switch; False gives work to targets that report that they drain.
        snapshots: The newest snapshot of each service.
    """

    states: TargetStates
    outliers: OutlierDetector
    weights: WeightSource
    beliefs: LoadBelief = field(factory=LoadBelief)
    latencies: LatencyBook = field(factory=LatencyBook)
    slow_start: SlowStart = field(factory=SlowStart)
    eject: bool = True
    drain: bool = True
    topologies: dict[str, _Topology] = field(factory=dict)
    snapshots: dict[str, _Snapshot] = field(factory=dict)

    def find(self, query: TargetQuery, fleet: FleetDocument | None, now_s: float) -> Candidates:
        """Return the targets that can take a request.

        Where no target is usable, those that failed are returned: probes and ejections may be
        wrong, and a refused connection tells quickly. Draining ones are never returned.
        """
        service = query.service
        snapshot = self.snapshots.get(service.service)
        key = (service, fleet, self.states.changes(now_s), self.outliers.changes)
        key += (self.eject, self.drain)
        if (
            snapshot is None
            or snapshot.key != key
            or not 0 <= snapshot.until_s - now_s <= SNAPSHOT_S
        ):
            self._update_topology(service, fleet)
            snapshot = self._take_snapshot(service, key, now_s)
            self.snapshots[service.service] = snapshot
        return snapshot.candidates(query)

    def evaluator(self, service: str, now_s: float) -> Evaluate:
        """Return a function that judges the load of one target now."""
        judged: dict[str, Candidate] = {}

        def evaluate(eligible: EligibleTarget) -> Candidate:
            target = eligible.target
            found = judged.get(target.target)
            if found is None:
                view = self.states.view(service, target.target, now_s)
                slots = min(target.slots, view.slots or target.slots)
                own, load = self.beliefs.loads(service, target.target, view, slots, now_s)
                slowness = self.latencies.slowness(service, target.target, now_s)
                found = Candidate(
                    target,
                    eligible.region,
                    own,
                    load,
                    eligible.slots,
                    eligible.weight_ppm,
                    slowness,
                )
                judged[target.target] = found
            return found

        return evaluate

    def _take_snapshot(self, service: ServiceDocument, key: tuple, now_s: float) -> _Snapshot:
        views = {
            t.target: self.states.view(service.service, t.target, now_s) for t in service.targets
        }
        open_targets = [
            (target, weight)
            for target in service.targets
            if (weight := self._weight_ppm(service, target, views[target.target], now_s)) > 0
        ]
        names = {
            target.target
            for target, _ in open_targets
            if self._is_fit(service.service, target, views[target.target], now_s)
        }
        usable_now = {target.target: target.target in names for target in service.targets}
        self.slow_start.observe(service.service, usable_now, now_s)
        not_drained = tuple(
            self._eligible(service, target, weight, views[target.target], now_s)
            for target, weight in open_targets
        )
        usable = tuple(eligible for eligible in not_drained if eligible.target.target in names)
        # Time alone changes the state of drained, failed, ejected and recovering targets.
        steady = len(names) == len(service.targets) and not service.drains
        steady = steady and all(
            eligible.slots >= 1 and eligible.weight_ppm == PPM for eligible in usable
        )
        steady = steady and not self.slow_start.is_raising(service.service, now_s)
        until_s = now_s + SNAPSHOT_S if steady else now_s
        fractions = self._fractions(service.service, usable)
        return _Snapshot(key, until_s, usable, not_drained, fractions)

    def _weight_ppm(
        self, service: ServiceDocument, target: Target, view: TargetView, now_s: float
    ) -> int:
        if self.drain and view.state is TargetState.DRAINING:
            return 0
        return self.weights.weight_ppm(service, target, now_s)

    def _is_fit(self, service: str, target: Target, view: TargetView, now_s: float) -> bool:
        if not self.eject:
            return True
        if self.outliers.ejected(service, target.target, now_s):
            return False
        if view.state is not TargetState.FAILED:
            return True
        return self.beliefs.answered_recently(service, target.target, now_s)

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

    def _fractions(self, service: str, usable: Sequence[EligibleTarget]) -> dict[str, float]:
        slots = self.topologies[service].slots
        healthy = dict.fromkeys(slots, 0.0)
        for eligible in usable:
            healthy[eligible.region] += eligible.slots * eligible.weight_ppm / PPM
        return {region: healthy[region] / slots[region] for region in slots}

    def _update_topology(self, service: ServiceDocument, fleet: FleetDocument | None) -> None:
        """Find the regions of a service's targets again when a document has changed."""
        known = self.topologies.get(service.service)
        if known is not None and known.service is service and known.fleet is fleet:
            return
        names = frozenset(t.target for t in service.targets)
        self.beliefs.forget(service.service, names)
        self.latencies.forget(service.service, names)
        region = {t.target: region_of(t, fleet) for t in service.targets}
        slots: dict[str, float] = {}
        for target in service.targets:
            name = region[target.target]
            slots[name] = slots.get(name, 0.0) + target.slots
        self.topologies[service.service] = _Topology(service, fleet, region, slots)


def region_of(target: Target, fleet: FleetDocument | None) -> str:
    """Return a target's region, empty where the fleet document does not tell."""
    return (fleet.region_of(target.availability_zone) if fleet else None) or ""


def _matching(targets: Sequence[EligibleTarget], query: TargetQuery) -> tuple[EligibleTarget, ...]:
    return tuple(
        eligible
        for eligible in targets
        if query.version in (None, eligible.target.version)
        and eligible.target.target not in query.excluded
    )
