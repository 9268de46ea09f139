"""Split the traffic of a route among its services by weight."""

import random

from attrs import define, field

from wagtailbay.routing.models import RouteRule


@define
class ServiceSplitter:
    """Divide the requests of each route among its services by smooth weighted round robin.

    The credits start at random values, so that the first requests of many VMs don't all go to the
    same service.

    Attributes:
        credits: Credit of each service, by route.
    """

    random: random.Random
    credits: dict[str, dict[str, float]] = field(factory=dict)

    def pick(self, route: RouteRule) -> str:
        """Return the service for the next request of a route."""
        parts = [part for part in route.parts if part.weight > 0] or list(route.parts)
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts) or 1.0
        weights = {part.service: part.weight / total for part in parts}
        credits = self.credits.get(route.name)
        if credits is None or credits.keys() != weights.keys():
            credits = {name: self.random.uniform(0, weight) for name, weight in weights.items()}
            self.credits[route.name] = credits
        for name, weight in weights.items():
            credits[name] += weight
        chosen = max(credits, key=lambda name: credits[name])
        credits[chosen] -= 1.0
        return chosen
