"""Rank targets for an object, and the utilization up to which other targets are used."""

from collections.abc import Callable
from functools import lru_cache

from xxhash import xxh64_intdigest

from wagtailbay.placement.const import (
    BUSY_UTILIZATION,
    FALLBACK_UTILIZATION_BUSY,
    FALLBACK_UTILIZATION_IDLE,
    IDLE_UTILIZATION,
    REMOTE_UTILIZATION_BUSY,
    REMOTE_UTILIZATION_IDLE,
)
from wagtailbay.registry import RegisteredTarget


@lru_cache(maxsize=65_536)
def affinity_rank(affinity: str, target: str) -> int:
    """Return the rendezvous hash of a target for an object; the lowest is preferred."""
    return xxh64_intdigest(f"{affinity}\0{target}".encode())


def compute_busy_fraction(mean_utilization: float) -> float:
    """Return how busy a service is: 0 up to the idle utilization, 1 from the busy one on."""
    return min(
        1.0, max(0.0, (mean_utilization - IDLE_UTILIZATION) / (BUSY_UTILIZATION - IDLE_UTILIZATION))
    )


def max_fallback_utilization(mean_utilization: float) -> float:
    """Return the utilization below which a target accepts objects that prefer another target."""
    return FALLBACK_UTILIZATION_IDLE + compute_busy_fraction(mean_utilization) * (
        FALLBACK_UTILIZATION_BUSY - FALLBACK_UTILIZATION_IDLE
    )


def max_remote_utilization(mean_utilization: float) -> float:
    """Return the utilization up to which targets of other regions are used without a plan."""
    return REMOTE_UTILIZATION_IDLE + compute_busy_fraction(mean_utilization) * (
        REMOTE_UTILIZATION_BUSY - REMOTE_UTILIZATION_IDLE
    )


def through_first_warm(targets: list[RegisteredTarget], now_s: float) -> list[RegisteredTarget]:
    """Return the targets up to and including the first warm one, or all if every one is cold."""
    for index, target in enumerate(targets):
        if not target.is_cold(now_s):
            return targets[: index + 1]
    return targets


def first_by_region(
    ordered: list[RegisteredTarget], region_of: Callable[[RegisteredTarget], str]
) -> list[RegisteredTarget]:
    """Return the best-ranked target of each region."""
    firsts: dict[str, RegisteredTarget] = {}
    for target in ordered:
        firsts.setdefault(region_of(target), target)
    return list(firsts.values())
