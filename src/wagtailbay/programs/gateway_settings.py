"""Settings of a gateway VM."""

import json
from functools import partial

from attrs import frozen

from wagtailbay.admission import AdmissionSettings
from wagtailbay.admission.const import DEFAULT_MAX_QUEUED, MAX_MAX_QUEUED, MAX_WAIT_FRACTION
from wagtailbay.capacity import VmCapacity
from wagtailbay.capacity.const import MAX_CAPACITY
from wagtailbay.hedging import HedgeSettings
from wagtailbay.hedging.const import (
    DEFAULT_QUANTILE,
    MAX_HEDGE_SHARE,
    MAX_QUANTILE,
    MIN_QUANTILE,
)
from wagtailbay.platform import parse_duration_ms
from wagtailbay.requirements import FleetRequirements, parse_requirements
from wagtailbay.settings import setting
from wagtailbay.settings.checks import parse_address, parse_address_list, parse_optional_address
from wagtailbay.usage import UsageSettings, parse_usage_settings


def parse_zones(text: str) -> dict[str, str]:
    """Parse a JSON object that maps availability zones to regions.

    Raises:
        ValueError: The text is not a non-empty JSON object.
    """
    zones = json.loads(text)
    if not isinstance(zones, dict) or not zones:
        raise ValueError("expected a non-empty JSON object of availability zones and their regions")
    return {str(zone): str(region) for zone, region in zones.items()}


def parse_boolean(text: str) -> bool:
    """Parse ``true`` or ``false``; an empty text means false.

    Raises:
        ValueError: The text is none of these.
    """
    if text.lower() not in ("true", "false", ""):
        raise ValueError(f"expected true or false, got {text!r}")
    return text.lower() == "true"


def parse_capacity(text: str) -> float:
    """Parse a number from 0 to MAX_CAPACITY; an empty text means 0, not known.

    Raises:
        ValueError: The text is no such number.
    """
    number = float(text or 0)
    if not 0 <= number <= MAX_CAPACITY:
        raise ValueError(f"expected a number from 0 to {MAX_CAPACITY:,.0f}, got {text!r}")
    return number


def parse_wait_fraction(text: str) -> float:
    """Parse a number from 0 to MAX_WAIT_FRACTION; an empty text means 0.

    Raises:
        ValueError: The text is no such number.
    """
    return _parse_number(text or "0", 0.0, MAX_WAIT_FRACTION)


def parse_max_queued(text: str) -> int:
    """Parse a whole number from 1 to MAX_MAX_QUEUED; an empty text means the default.

    Raises:
        ValueError: The text is no such number.
    """
    message = f"expected a whole number from 1 to {MAX_MAX_QUEUED:,}, got {text!r}"
    try:
        number = int(text or DEFAULT_MAX_QUEUED)
    except ValueError:
        raise ValueError(message) from None
    if not 1 <= number <= MAX_MAX_QUEUED:
        raise ValueError(message)
    return number


def parse_hedge_share(text: str) -> float:
    """Parse a number from 0 to MAX_HEDGE_SHARE; an empty text means 0.

    Raises:
        ValueError: The text is no such number.
    """
    return _parse_number(text or "0", 0.0, MAX_HEDGE_SHARE)


def parse_hedge_quantile(text: str) -> float:
    """Parse a number from MIN_QUANTILE to MAX_QUANTILE; an empty text means the default.

    Raises:
        ValueError: The text is no such number.
    """
    return _parse_number(text or str(DEFAULT_QUANTILE), MIN_QUANTILE, MAX_QUANTILE)


def _parse_number(text: str, low: float, high: float) -> float:
    message = f"expected a number from {low:g} to {high:g}, got {text!r}"
    try:
        number = float(text)
    except ValueError:
        raise ValueError(message) from None
    if not low <= number <= high:
        raise ValueError(message)
    return number


@frozen
class GatewaySettings:
    """Run a gateway VM that serves callers on the users' platform."""

    vm: str = setting(help_text="IP address of this VM, which is also its name")
    machine: str = setting(
        help_text="name that the platform gives this VM, used in logs", default=""
    )
    availability_zone: str = setting(help_text="availability zone of this VM")
    zones: dict[str, str] = setting(
        help_text="region of each availability zone, as a JSON object", parse=parse_zones
    )
    listen_address: str = setting(help_text="address to listen on for callers", parse=parse_address)
    ready_address: str = setting(
        help_text="address to serve readiness checks on", parse=parse_address
    )
    lookup_address: str = setting(help_text="address to serve VM lookups on", parse=parse_address)
    peer_address: str = setting(help_text="address to listen on for other VMs", parse=parse_address)
    seeds: tuple[str, ...] = setting(
        help_text="addresses of some other VMs, separated by commas",
        default=(),
        parse=parse_address_list,
    )
    platform_address: str = setting(
        help_text="address of the platform's store", parse=parse_address
    )
    metrics_address: str = setting(
        help_text="address to serve Prometheus metrics on at /metrics; empty disables them",
        default="",
        parse=parse_optional_address,
    )
    grace_ms: float = setting(
        help_text="longest time from SIGTERM to exit, such as 6s",
        default=6000,
        parse=parse_duration_ms,
    )
    memory_mb: int = setting(
        help_text="memory that the process may use, in MB; limits the bodies that it holds",
        default=300,
        parse=int,
    )
    cpu_share: float = setting(
        help_text="part of a core that this VM may use; 0 if it is not known",
        default=0.0,
        parse=parse_capacity,
    )
    cores: float = setting(
        help_text="speed of the core, as a multiple of the usual one",
        default=1.0,
        parse=parse_capacity,
    )
    link_mbps: float = setting(
        help_text="bandwidth of this VM's link in Mbit/s; 0 if it is not known",
        default=0.0,
        parse=parse_capacity,
    )
    first_start: bool = setting(
        help_text="whether the whole fleet starts for the first time: true or false",
        default=False,
        parse=parse_boolean,
    )
    queue_wait_fraction: float = setting(
        help_text="part of its latency goal for which a request may wait for capacity, 0 to 0.5; "
        "0 refuses it at once",
        default=0.0,
        parse=parse_wait_fraction,
    )
    max_queued: int = setting(
        help_text="maximum number of requests that wait for capacity on this VM",
        default=DEFAULT_MAX_QUEUED,
        parse=parse_max_queued,
    )
    hedge_share: float = setting(
        help_text="part of a service's requests that may get a second attempt beside a slow first "
        "one, 0 to 0.2; 0 disables these",
        default=0.0,
        parse=parse_hedge_share,
    )
    hedge_quantile: float = setting(
        help_text="quantile of a route's recent latencies after which a second attempt is sent, "
        "0.5 to 0.999",
        default=DEFAULT_QUANTILE,
        parse=parse_hedge_quantile,
    )
    requirements: FleetRequirements = setting(
        help_text="limits that the deployment requires the fleet to keep, as a JSON object",
        default=FleetRequirements(),
        parse=partial(parse_requirements, parse_duration_ms=parse_duration_ms),
    )

    usage_api_address: str = setting(
        help_text="address that usage reports are sent to; empty disables them",
        default="",
        parse=parse_optional_address,
    )
    usage: UsageSettings = setting(
        help_text="rules of the deployment for usage reports, as a JSON object",
        default=UsageSettings(),
        parse=partial(parse_usage_settings, parse_duration_ms=parse_duration_ms),
    )

    @property
    def reports_usage(self) -> bool:
        """Return whether this deployment wants usage reports."""
        return bool(self.usage_api_address) and self.usage.report_window_ms > 0

    @property
    def capacity(self) -> VmCapacity:
        """Return what this VM can carry, by its settings."""
        return VmCapacity(self.cpu_share * self.cores, self.link_mbps)

    @property
    def admission(self) -> AdmissionSettings:
        """Return the settings of the admission queue."""
        return AdmissionSettings(self.queue_wait_fraction, self.max_queued)

    @property
    def hedging(self) -> HedgeSettings:
        """Return the settings of second attempts."""
        return HedgeSettings(self.hedge_share, self.hedge_quantile)

    @property
    def region(self) -> str:
        """Return the region of this VM, empty if its availability zone is unknown."""
        return self.zones.get(self.availability_zone, "")
