"""Detection of VMs that have no path to the store."""

import time
from collections.abc import Iterable
from typing import Final

import trio

from wagtailbay.membership.const import EXCHANGE_TIMEOUT_MS
from wagtailbay_bench.network import PLATFORM, Network
from wagtailbay_bench.prove.const import STORE_TIMEOUT_MS
from wagtailbay_bench.prove.context import FaultContext
from wagtailbay_bench.prove.models import StoreIsolation
from wagtailbay_bench.prove.scenario import QUORUM_VMS

SAMPLE_INTERVAL_S: Final = 0.1
# A call that needs nearly its whole timeout may fail, so a slower link counts as unreachable.
USABLE_TIMEOUT_FRACTION: Final = 0.9


async def record_isolated_vms(context: FaultContext) -> None:
    """Sample which VMs have no path to the store until cancelled."""
    while True:
        now_unix_s = time.time()
        context.history.isolations.extend(
            StoreIsolation(vm, now_unix_s, may_have_quorum)
            for vm, may_have_quorum in find_isolated_vms(context).items()
        )
        await trio.sleep(SAMPLE_INTERVAL_S)


def find_isolated_vms(context: FaultContext) -> dict[str, bool]:
    """Return the VMs without a path to the store, and whether each may have a quorum.

    Offline VMs are left out. A frozen VM is isolated and has no quorum.
    """
    network = context.network
    vms = context.deployment.vm_addresses.keys()
    running_vms = vms - context.offline_vms - context.frozen_vms
    store_delay_ms = context.active_store_faults.get("delay_ms", 0.0)
    store_readers = (
        vm
        for vm in running_vms
        if "outage" not in context.active_store_faults
        and _is_reachable(network, (vm, PLATFORM), STORE_TIMEOUT_MS, store_delay_ms)
    )
    connected = _find_connected_vms(network, store_readers, running_vms)
    return {
        vm: vm in running_vms and len(_find_connected_vms(network, [vm], running_vms)) >= QUORUM_VMS
        for vm in (vms - context.offline_vms) - connected
    }


def _is_reachable(
    network: Network, link: tuple[str, str], timeout_ms: float, extra_delay_ms: float = 0.0
) -> bool:
    round_trip_ms = 2 * network.delay_ms(link) + extra_delay_ms
    return network.is_open(link) and round_trip_ms < timeout_ms * USABLE_TIMEOUT_FRACTION


def _find_connected_vms(
    network: Network, sources: Iterable[str], running_vms: Iterable[str]
) -> set[str]:
    """Return the VMs that exchanges between running VMs connect to the sources."""
    connected = set(sources)
    pending = list(connected)
    while pending:
        vm = pending.pop()
        for peer in running_vms:
            calls = ((vm, peer), (peer, vm))
            if peer not in connected and any(
                _is_reachable(network, call, EXCHANGE_TIMEOUT_MS) for call in calls
            ):
                connected.add(peer)
                pending.append(peer)
    return connected
