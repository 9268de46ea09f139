"""Data classes of the compared variants and their measurements."""

from attrs import define, field, frozen


@frozen
class Variant:
    """One way to reach the targets.

    Attributes:
        process_id: Process whose CPU time and memory are measured; None for direct connections.
        addresses: Addresses that clients connect to, in round-robin order.
        path: Path of the request.
    """

    name: str
    process_id: int | None
    addresses: tuple[str, ...]
    path: str


@define
class VariantCost:
    """Measurements of one variant with one response size.

    Attributes:
        cpu_us: CPU time of the forwarding process per request, one value per round.
        served_per_s: Rate of successful requests at full load, one value per round.
        latencies_ms: Latencies of all paced requests.
        failed: Number of requests whose status was not 200.
    """

    cpu_us: list[float] = field(factory=list)
    served_per_s: list[float] = field(factory=list)
    latencies_ms: list[float] = field(factory=list)
    failed: int = 0

    def latency_quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the latencies of paced requests."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
