"""Measure the rate of requests that this VM sends to each region."""

from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, field

from wagtailbay.config import ServiceDocument
from wagtailbay.limits import DecayingRate
from wagtailbay.steer.const import USAGE_WINDOW_S


@define
class RegionUsage:
    """Measures the request rate from this VM to each region of each service.

    Attributes:
        document: Returns the current document of a service, None if there is none.
        healthy_fractions: Healthy fraction of the slots by service and region, 0 to 1, as last
            reported by the chooser.
        rates: Requests/s by service and region.
    """

    document: Callable[[str], ServiceDocument | None]
    healthy_fractions: Mapping[tuple[str, str], float]
    rates: dict[tuple[str, str], DecayingRate] = field(factory=dict)

    def record(self, service: str, region: str, now_s: float) -> None:
        """Record a request that took budget of a region."""
        rate = self.rates.setdefault((service, region), DecayingRate(USAGE_WINDOW_S))
        rate.record(1.0, now_s)

    def status(self, now_s: float) -> Mapping[str, Any]:
        """Return the request rate and usable capacity by ``service/region``."""
        usage = {}
        for (service, region), rate in sorted(self.rates.items()):
            document = self.document(service)
            capacities = {c.region: c.capacity_per_s for c in document.regions} if document else {}
            if region not in capacities:
                continue
            usable_per_s = capacities[region] * self.healthy_fractions.get((service, region), 1.0)
            usage[f"{service}/{region}"] = {
                "used_per_s": round(rate.at(now_s), 3),
                "usable_per_s": round(usable_per_s, 3),
            }
        return usage
