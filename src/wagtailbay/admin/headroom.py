"""Sum up how much of each region's capacity the entry VMs use."""

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import frozen

from wagtailbay.admin.const import LOW_HEADROOM_PERCENT
from wagtailbay.admin.fleet import VmReport


@frozen
class RegionHeadroom:
    """Hold the spare capacity of one region for one service.

    Attributes:
        usable_per_s: The least that any VM takes to be usable, in requests/s.
        vms: How many VMs' requests are counted.
    """

    service: str
    region: str
    used_per_s: float
    usable_per_s: float
    headroom_percent: float
    vms: int


def region_headroom(reports: Iterable[VmReport]) -> tuple[RegionHeadroom, ...]:
    """Return the headroom of each region that any VM sends requests to."""
    rates_by_region: dict[str, list[tuple[float, float]]] = {}
    for report in reports:
        for name, rates in _parse_region_rates(report).items():
            rates_by_region.setdefault(name, []).append(rates)
    return tuple(
        _compute_headroom(name, vm_rates) for name, vm_rates in sorted(rates_by_region.items())
    )


def _parse_region_rates(report: VmReport) -> dict[str, tuple[float, float]]:
    """Return used and usable requests/s by ``service/region``; malformed entries are left out."""
    section = (report.status or {}).get("regions")
    if not isinstance(section, Mapping):
        return {}
    rates = {}
    for name, entry in section.items():
        used, usable = _parse_rates(entry)
        if "/" in name and used is not None and usable is not None:
            rates[name] = (used, usable)
    return rates


def _parse_rates(entry: Any) -> tuple[float | None, float | None]:
    if not isinstance(entry, Mapping):
        return None, None
    used, usable = entry.get("used_per_s"), entry.get("usable_per_s")
    return (
        float(used) if isinstance(used, int | float) else None,
        float(usable) if isinstance(usable, int | float) else None,
    )


def _compute_headroom(name: str, rates: list[tuple[float, float]]) -> RegionHeadroom:
    service, _, region = name.partition("/")
    used_per_s = sum(used for used, _ in rates)
    usable_per_s = min(usable for _, usable in rates)
    spare = 1.0 - used_per_s / usable_per_s if usable_per_s > 0.0 else 0.0
    percent = round(100.0 * max(0.0, spare), 1)
    return RegionHeadroom(service, region, round(used_per_s, 3), usable_per_s, percent, len(rates))


def headroom_problems(regions: Iterable[RegionHeadroom]) -> list[dict[str, str]]:
    """Return the regions that are near their capacity."""
    return [
        {
            "subject": f"region {region.service}/{region.region}",
            "message": f"headroom {region.headroom_percent}%: {region.used_per_s} of"
            f" {region.usable_per_s} requests/s used",
        }
        for region in regions
        if region.headroom_percent < LOW_HEADROOM_PERCENT
    ]
