"""Model the figures of one variant."""

from attrs import define, field, frozen


@frozen
class Variant:
    """Name a way to a target.

    Attributes:
        process_id: The process whose cost counts, None where several take turns.
        addresses: Where callers connect, in turn.
        path: The request target.
    """

    name: str
    process_id: int | None
    addresses: tuple[str, ...]
    path: str


@define
class VariantCost:
    """Collect the rounds of one variant with one answer size.

    Attributes:
        cpu_us: Processor time of the forwarding process for each request, one entry a round.
    """

    cpu_us: list[float] = field(factory=list)
    served_per_s: list[float] = field(factory=list)
    latencies_ms: list[float] = field(factory=list)
    failed: int = 0

    def latency_quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the paced requests' latency."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
