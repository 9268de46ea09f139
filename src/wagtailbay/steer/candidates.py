"""Judge which targets can take a request, and pick between them."""

import random
from collections.abc import Sequence

from attrs import define, field, frozen

from wagtailbay.config import FleetDocument, ServiceDocument, Target
from wagtailbay.health import OutlierDetector, TargetState, TargetStates, TargetView
from wagtailbay.steer.belief import LoadBelief
from wagtailbay.steer.const import PPM
from wagtailbay.steer.models import Candidate, TargetQuery, WeightSource
from wagtailbay.steer.slow_start import SlowStart


@frozen
class Candidates:
    """Hold the targets that can take a request, and the state of each region.

    Attributes:
        all_usable: The usable targets of any version.
        healthy_fraction: Usable slots through all slots of the service, by region.
    """

    for_query: tuple[Candidate, ...]
    all_usable: tuple[Candidate, ...]
    healthy_fraction: dict[str, float]

    def in_region(self, region: str) -> tuple[Candidate, ...]:
        """Return those of a region that can take the request."""
        return tuple(c for c in self.for_query if c.region == region)


@frozen
class _Places:
    """Hold the region of each target and the slots of each region under two documents."""

    service: ServiceDocument
    fleet: FleetDocument | None
    region: dict[str, str]
    slots: dict[str, float]


@define
class CandidateFinder:
    """Combine probes, ejections, drains, own counts and slow start.

    Attributes:
        eject: Test-only switch; False uses targets that probes or requests show to be unfit.
        drain: Test-only switch; False gives work to targets that report that they drain.
    """

    states: TargetStates
    outliers: OutlierDetector
    weights: WeightSource
    beliefs: LoadBelief = field(factory=LoadBelief)
    slow_start: SlowStart = field(factory=SlowStart)
    eject: bool = True
    drain: bool = True
    places: dict[str, _Places] = field(factory=dict)

    def find(self, query: TargetQuery, fleet: FleetDocument | None, now_s: float) -> Candidates:
        """Return the targets that can take a request.

        Where no target is usable, those that failed are returned: probes and ejections may be
        wrong, and a refused connection tells quickly. Draining ones are never returned.
        """
        service = query.service
        self._place(service, fleet)
        views = {
            t.target: self.states.view(service.service, t.target, now_s) for t in service.targets
        }
        open_targets = [
            (target, weight)
            for target in service.targets
            if (weight := self._weight_ppm(service, target, views[target.target], now_s)) > 0
        ]
        fit = [
            (target, weight)
            for target, weight in open_targets
            if self._is_fit(service.service, target, views[target.target], now_s)
        ]
        names = {target.target for target, _ in fit}
        usable_now = {target.target: target.target in names for target in service.targets}
        self.slow_start.observe(service.service, usable_now, now_s)

        def build(pairs: Sequence[tuple[Target, int]]) -> tuple[Candidate, ...]:
            return tuple(
                self._candidate(service, target, weight, views[target.target], now_s)
                for target, weight in pairs
            )

        usable = build(fit)
        matching = _matching(usable, query) or _matching(build(open_targets), query)
        return Candidates(matching, usable, self._fractions(service.service, usable))

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

    def _candidate(
        self,
        service: ServiceDocument,
        target: Target,
        weight_ppm: int,
        view: TargetView,
        now_s: float,
    ) -> Candidate:
        name = service.service
        slots = min(target.slots, view.slots or target.slots)
        return Candidate(
            target,
            self.places[service.service].region[target.target],
            self.beliefs.in_flight(name, target.target, now_s),
            self.beliefs.load(name, target.target, view, slots, now_s),
            slots * self.slow_start.factor(name, target.target, now_s),
            weight_ppm,
        )

    def _fractions(self, service: str, usable: Sequence[Candidate]) -> dict[str, float]:
        slots = self.places[service].slots
        healthy = dict.fromkeys(slots, 0.0)
        for c in usable:
            healthy[c.region] += c.slots * c.weight_ppm / PPM
        return {region: healthy[region] / slots[region] for region in slots}

    def _place(self, service: ServiceDocument, fleet: FleetDocument | None) -> None:
        """Find the regions of a service's targets again when a document has changed."""
        known = self.places.get(service.service)
        if known is not None and known.service is service and known.fleet is fleet:
            return
        region = {t.target: region_of(t, fleet) for t in service.targets}
        slots: dict[str, float] = {}
        for target in service.targets:
            name = region[target.target]
            slots[name] = slots.get(name, 0.0) + target.slots
        self.places[service.service] = _Places(service, fleet, region, slots)


def region_of(target: Target, fleet: FleetDocument | None) -> str:
    """Return a target's region, empty where the fleet document does not tell."""
    return (fleet.region_of(target.availability_zone) if fleet else None) or ""


def _matching(candidates: Sequence[Candidate], query: TargetQuery) -> tuple[Candidate, ...]:
    return tuple(
        c
        for c in candidates
        if query.version in (None, c.target.version) and c.target.target not in query.excluded
    )


def pick_of_two(candidates: Sequence[Candidate], source: random.Random) -> Candidate:
    """Return the one with less load of two random candidates.

    They are drawn in proportion to slots and weight. If the better one is busy, the least
    loaded of all is returned.
    """
    if len(candidates) == 1:
        return candidates[0]
    chances = [c.slots * c.weight_ppm for c in candidates]
    first = source.choices(range(len(candidates)), chances)[0]
    chances[first] = 0.0
    second = source.choices(range(len(candidates)), chances)[0]
    better = min(candidates[first], candidates[second], key=lambda c: c.score)
    return min(candidates, key=lambda c: c.score) if better.busy else better
