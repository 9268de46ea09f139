"""Measure how often each object is requested at this VM."""

from collections import OrderedDict
from math import ceil, log

from attrs import define, field

from wagtailbay.placement.const import (
    MAX_DEMANDED_OBJECTS,
    MAX_REPLICAS,
    OBJECT_RATE_HALF_LIFE_S,
    REPLICA_MARGIN,
    REPLICA_UTILIZATION,
)


@define
class ObjectDemand:
    """Rates of the objects that were requested last.

    Attributes:
        rates: Requests/s and when they were updated, by service and object; the newest last.
    """

    rates: OrderedDict[tuple[str, str], tuple[float, float]] = field(factory=OrderedDict)

    def record(self, service: str, affinity: str, now_s: float) -> None:
        """Count a request; an object that is no longer among the newest is forgotten."""
        rate_per_s = self.per_s(service, affinity, now_s) + log(2) / OBJECT_RATE_HALF_LIFE_S
        self.rates[(service, affinity)] = (rate_per_s, now_s)
        self.rates.move_to_end((service, affinity))
        if len(self.rates) > MAX_DEMANDED_OBJECTS:
            self.rates.popitem(last=False)

    def per_s(self, service: str, affinity: str, now_s: float) -> float:
        """Return the requests/s for an object."""
        rate_per_s, updated_s = self.rates.get((service, affinity), (0.0, now_s))
        return rate_per_s * 0.5 ** (max(0.0, now_s - updated_s) / OBJECT_RATE_HALF_LIFE_S)


def compute_replicas(rate_per_s: float, work_ms: float, slots: int) -> int:
    """Return how many targets an object needs, given its requests/s in the whole region."""
    needed = rate_per_s * work_ms / 1000 / (max(1, slots) * REPLICA_UTILIZATION)
    return min(MAX_REPLICAS, max(1, ceil(needed - REPLICA_MARGIN)))
