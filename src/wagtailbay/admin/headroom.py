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
    parts: dict[str, list[tuple[float, float]]] = {}
    for report in reports:
        for name, part in _regions(report).items():
            parts.setdefault(name, []).append(part)
    return tuple(_headroom(name, found) for name, found in sorted(parts.items()))


def _regions(report: VmReport) -> dict[str, tuple[float, float]]:
    """Return used and usable requests/s by ``service/region``; malformed entries are left out."""
    section = (report.status or {}).get("regions")
    if not isinstance(section, Mapping):
        return {}
    found = {}
    for name, part in section.items():
        used, usable = _numbers(part)
        if "/" in name and used is not None and usable is not None:
            found[name] = (used, usable)
    return found


def _numbers(part: Any) -> tuple[float | None, float | None]:
    if not isinstance(part, Mapping):
        return None, None
    used, usable = part.get("used_per_s"), part.get("usable_per_s")
    return (
        float(used) if isinstance(used, int | float) else None,
        float(usable) if isinstance(usable, int | float) else None,
    )


def _headroom(name: str, parts: list[tuple[float, float]]) -> RegionHeadroom:
    service, _, region = name.partition("/")
    used_per_s = sum(used for used, _ in parts)
    usable_per_s = min(usable for _, usable in parts)
    spare = 1.0 - used_per_s / usable_per_s if usable_per_s > 0.0 else 0.0
    percent = round(100.0 * max(0.0, spare), 1)
    return RegionHeadroom(service, region, round(used_per_s, 3), usable_per_s, percent, len(parts))


def headroom_problems(regions: Iterable[RegionHeadroom]) -> list[dict[str, str]]:
    """Return the regions that are near their capacity."""
    return [
        {
            "subject": f"region {item.service}/{item.region}",
            "message": f"headroom {item.headroom_percent}%: {item.used_per_s} of"
            f" {item.usable_per_s} requests/s used",
        }
        for item in regions
        if item.headroom_percent < LOW_HEADROOM_PERCENT
    ]
