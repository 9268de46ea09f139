"""Track the exchange sizes of routes to detect large exchanges."""

from attrs import define, field

from wagtailbay.placement.const import LARGE_EXCHANGE_BYTES, SIZE_WEIGHT


@define
class ExchangeSizes:
    """Moving average of the request and answer bytes of each route.

    Attributes:
        mean_bytes: Average by route, which starts at the size of the first exchange.
    """

    mean_bytes: dict[str, float] = field(factory=dict)

    def record(self, route: str, size_bytes: int) -> None:
        """Add the size of one complete exchange to the average of its route."""
        known = self.mean_bytes.get(route)
        if known is None:
            self.mean_bytes[route] = float(size_bytes)
        else:
            self.mean_bytes[route] = known + SIZE_WEIGHT * (size_bytes - known)

    def is_large(self, route: str, request_bytes: int) -> bool:
        """Return whether the request, or the average exchange of its route, is large."""
        return max(request_bytes, self.mean_bytes.get(route, 0.0)) >= LARGE_EXCHANGE_BYTES
