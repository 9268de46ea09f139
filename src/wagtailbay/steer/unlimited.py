"""Budgets and weights that impose no limits."""

from collections.abc import Callable

from attrs import define

from wagtailbay.config import ServiceDocument, Target
from wagtailbay.steer.const import PPM


@define
class UnlimitedBudgets:
    """Allows every request and response; a baseline without budgets."""

    def take_region_budget(
        self,
        service: ServiceDocument,
        region: str,
        now_s: float,
        healthy_fraction: float = 1.0,
    ) -> bool:
        """Return True, since requests are not limited."""
        return True

    def subscribe(
        self, service: ServiceDocument, region: str, now_s: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Never call back, since budget never runs out."""
        return lambda: None

    def wait_s(self, service: ServiceDocument, region: str, now_s: float) -> float:
        """Return 0, since budget is always available."""
        return 0.0

    def link_has_capacity(self, from_region: str, to_region: str, now_s: float) -> bool:
        """Return True, since links are not limited."""
        return True

    def charge_link(
        self, from_region: str, to_region: str, response_bytes: int, now_s: float
    ) -> None:
        """Ignore the response."""


@define
class FullWeights:
    """Gives every target its full weight, as if nothing were drained."""

    def weight_ppm(self, service: ServiceDocument, target: Target, now_s: float) -> int:
        """Return the full weight."""
        return PPM
