"""Usage reports of a gateway VM."""

from wagtailbay.clock import boottime_s, unix_time_s
from wagtailbay.membership import VmState
from wagtailbay.membership.selection import rendezvous_order
from wagtailbay.metrics import Metrics
from wagtailbay.platform import PlatformStore
from wagtailbay.platform.usage_api import UsageReportCodec
from wagtailbay.programs.gateway_fleet_view import GatewayFleetView
from wagtailbay.programs.gateway_settings import GatewaySettings
from wagtailbay.store import MeteredObjectStore
from wagtailbay.usage import (
    UsageParts,
    UsageSender,
    UsageSurroundings,
    build_usage,
    new_run_id,
)
from wagtailbay.usage.const import MAX_CANDIDATES

DUTY_SUBJECT = "usage-duty"


def duty_rank(fleet_view: GatewayFleetView, vm: str, last_holder: str = "") -> int | None:
    """Return this VM's rank among the candidates for the duty, None if it may not hold it.

    Only delegates hear of all VMs in a divided fleet; those of the first rank hear of each other's
    leases directly. A holder that is no candidate any more keeps the duty while it is a delegate.

    Args:
        last_holder: Is left out, so that its successors do not wait for it.
    """
    if fleet_view.fleet.roster.own_member.state is not VmState.LIVE:
        return None
    layout, live = fleet_view.layout(), frozenset(fleet_view.live_vms())
    if layout.is_divided:
        if not layout.is_delegate(vm):
            return None
        live = frozenset(name for name in live if layout.delegate_rank(name) == 0)
    candidates = (live & fleet_view.serving_vms()) or live
    candidates -= {last_holder} - {vm}
    if vm not in candidates:
        return MAX_CANDIDATES
    return rendezvous_order(DUTY_SUBJECT, candidates).index(vm)


def build_gateway_usage(
    settings: GatewaySettings, fleet_view: GatewayFleetView, store: PlatformStore, metrics: Metrics
) -> UsageParts | None:
    """Build the parts that count and report usage, None if the deployment wants no reports."""
    if not settings.reports_usage:
        return None
    surroundings = UsageSurroundings(
        settings.vm,
        MeteredObjectStore(store, metrics.record_store_call),
        fleet_view.fleet.facts,
        fleet_view.layout,
        lambda: frozenset(fleet_view.live_vms()),
        lambda last_holder: duty_rank(fleet_view, settings.vm, last_holder),
        boottime_s,
        unix_time_s,
        metrics,
        new_run_id(),
    )
    sender = UsageSender(
        settings.usage_api_address, UsageReportCodec(), settings.usage.call_timeout_s
    )
    return build_usage(settings.usage, surroundings, sender)
