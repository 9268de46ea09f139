"""Tell routes with large exchanges from others."""

from attrs import define, field

from wagtailbay.placement.const import LARGE_EXCHANGE_BYTES, SIZE_WEIGHT


@define
class ExchangeSizes:
    """Hold the mean bytes of requests and answers of each route.

    Attributes:
        mean_bytes: By route; the first exchange counts whole.
    """

    mean_bytes: dict[str, float] = field(factory=dict)

    def record(self, route: str, size_bytes: int) -> None:
        """Count one whole exchange."""
        known = self.mean_bytes.get(route)
        if known is None:
            self.mean_bytes[route] = float(size_bytes)
        else:
            self.mean_bytes[route] = known + SIZE_WEIGHT * (size_bytes - known)

    def is_large(self, route: str, request_bytes: int) -> bool:
        """Tell whether an exchange is probably large, by its request and the route's others."""
        return max(request_bytes, self.mean_bytes.get(route, 0.0)) >= LARGE_EXCHANGE_BYTES
