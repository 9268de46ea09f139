"""Spare capacity of each region, computed from the status of the entry VMs."""

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import frozen

from wagtailbay.admin.const import LOW_HEADROOM_PERCENT
from wagtailbay.admin.fleet import VmReport


@frozen
class RegionHeadroom:
    """Describes the spare capacity of one region for one service.

    Attributes:
        used_per_s: The rate that all VMs together send to the region, in requests/s.
        usable_per_s: The lowest usable capacity that any VM reports, in requests/s.
        vms: The number of VMs that reported the region.
    """

    service: str
    region: str
    used_per_s: float
    usable_per_s: float
    headroom_percent: float
    vms: int


def region_headroom(reports: Iterable[VmReport]) -> tuple[RegionHeadroom, ...]:
    """Return the headroom of each service and region that at least one VM reports."""
    rates_by_region: dict[str, list[tuple[float, float]]] = {}
    for report in reports:
        for name, rates in _parse_region_rates(report).items():
            rates_by_region.setdefault(name, []).append(rates)
    return tuple(
        _compute_headroom(name, vm_rates) for name, vm_rates in sorted(rates_by_region.items())
    )


def _parse_region_rates(report: VmReport) -> dict[str, tuple[float, float]]:
    """Return used and usable requests/s by ``service/region``, without malformed entries."""
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
    """Return a problem for each region whose headroom is below LOW_HEADROOM_PERCENT."""
    return [
        {
            "subject": f"region {region.service}/{region.region}",
            "message": f"headroom {region.headroom_percent}%: {region.used_per_s} of"
            f" {region.usable_per_s} requests/s used",
        }
        for region in regions
        if region.headroom_percent < LOW_HEADROOM_PERCENT
    ]
