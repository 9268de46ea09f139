"""Declare the settings of a gateway VM."""

import json

from attrs import frozen

from wagtailbay.platform import parse_duration_ms
from wagtailbay.settings import setting
from wagtailbay.settings.checks import parse_address, parse_address_list, parse_optional_address


def parse_zones(text: str) -> dict[str, str]:
    """Parse a JSON object that gives each availability zone its region.

    Raises:
        ValueError: The text is no such object.
    """
    zones = json.loads(text)
    if not isinstance(zones, dict) or not zones:
        raise ValueError("expected an object of zones and their regions")
    return {str(zone): str(region) for zone, region in zones.items()}


@frozen
class GatewaySettings:
    """Serve callers on one VM of the users' platform."""

    vm: str = setting(help_text="IP number of this VM, which is also its name")
    machine: str = setting(help_text="the platform's name of this VM, for logs", default="")
    availability_zone: str = setting(help_text="availability zone of this VM")
    zones: dict[str, str] = setting(
        help_text="region of each availability zone, as a JSON object", parse=parse_zones
    )
    listen_address: str = setting(help_text="where callers connect", parse=parse_address)
    ready_address: str = setting(help_text="where readiness is asked", parse=parse_address)
    lookup_address: str = setting(help_text="where callers look VMs up", parse=parse_address)
    peer_address: str = setting(help_text="where other VMs connect", parse=parse_address)
    seeds: tuple[str, ...] = setting(
        help_text="where some other VMs are called, separated by commas",
        default=(),
        parse=parse_address_list,
    )
    platform_address: str = setting(help_text="address of the store", parse=parse_address)
    metrics_address: str = setting(
        help_text="where metrics are read at /metrics; empty for none",
        default="",
        parse=parse_optional_address,
    )
    grace_ms: float = setting(
        help_text="time from SIGTERM to the end, such as 6s", default=6000, parse=parse_duration_ms
    )

    @property
    def region(self) -> str:
        """Return this VM's own region."""
        return self.zones.get(self.availability_zone, "")
