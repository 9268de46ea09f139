"""Settings of an entry VM."""

from attrs import frozen

from wagtailbay.membership.settings import PeerSettings
from wagtailbay.programs.mechanisms import parse_mechanisms
from wagtailbay.settings import setting
from wagtailbay.settings.checks import (
    at_least,
    one_of,
    parse_address,
    parse_named_addresses,
    parse_optional_address,
)

CHOOSERS = ("two-choice", "round-robin", "least-connections")


@frozen
class EntrySettings(PeerSettings):
    """Serve callers on one entry VM."""

    vm: str = setting(help_text="unique name of this VM")
    availability_zone: str = setting(help_text="availability zone of this VM")
    listen_address: str = setting(help_text="address to listen on for callers", parse=parse_address)
    platform_address: str = setting(help_text="address of the object API", parse=parse_address)
    store_timeout_ms: int = setting(
        help_text="timeout of calls to the object API in ms",
        default=2_000,
        parse=int,
        check=at_least(1),
    )
    metrics_address: str = setting(
        help_text="address to serve Prometheus metrics on at /metrics; empty disables them",
        default="",
        parse=parse_optional_address,
    )
    target_routes: dict[str, str] = setting(
        help_text="overrides of target addresses, as ip:port=ip:port,...",
        default={},
        parse=parse_named_addresses,
    )
    chooser: str = setting(
        help_text="target selection policy; all but the default are baselines for measurements",
        default="two-choice",
        check=one_of(*CHOOSERS),
    )
    shares: str = setting(
        help_text="how budgets are divided among VMs; equal is a baseline for measurements",
        default="ledger",
        check=one_of("ledger", "equal"),
    )
    judge: str = setting(
        help_text="evaluation of new versions during moves; off is a baseline for measurements",
        default="on",
        check=one_of("on", "off"),
    )
    without: frozenset[str] = setting(
        help_text="mechanisms to disable, separated by commas; for tests only",
        default=frozenset(),
        parse=parse_mechanisms,
    )
