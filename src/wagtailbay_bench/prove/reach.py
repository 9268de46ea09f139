"""Tell which VMs have a path to the store."""

import time
from collections.abc import Iterable
from typing import Final

import trio

from wagtailbay.membership.const import EXCHANGE_TIMEOUT_MS
from wagtailbay_bench.network import PLATFORM, Network
from wagtailbay_bench.prove.const import STORE_TIMEOUT_MS
from wagtailbay_bench.prove.context import FaultContext
from wagtailbay_bench.prove.models import Apart
from wagtailbay_bench.prove.scene import QUORUM

SAMPLE_INTERVAL_S: Final = 0.1
# A call that needs nearly its whole timeout may fail.
TIMEOUT_PART: Final = 0.9


async def watch_paths(context: FaultContext) -> None:
    """Record again and again which VMs have no path to the store."""
    while True:
        now_unix_s = time.time()
        context.history.apart.extend(
            Apart(vm, now_unix_s, quorum) for vm, quorum in find_apart(context).items()
        )
        await trio.sleep(SAMPLE_INTERVAL_S)


def find_apart(context: FaultContext) -> dict[str, bool]:
    """Return the VMs without a path to the store, and whether they may have a quorum."""
    network = context.network
    vms = context.deployment.vm_addresses.keys()
    standing = vms - context.silent - context.frozen
    store_ms = context.store_faults.get("delay_ms", 0.0)
    direct = (
        vm
        for vm in standing
        if "outage" not in context.store_faults
        and _answers(network, (vm, PLATFORM), STORE_TIMEOUT_MS, store_ms)
    )
    reached = _spread(network, direct, standing)
    return {
        vm: vm in standing and len(_spread(network, [vm], standing)) >= QUORUM
        for vm in (vms - context.silent) - reached
    }


def _answers(
    network: Network, way: tuple[str, str], timeout_ms: float, extra_ms: float = 0.0
) -> bool:
    round_trip_ms = 2 * network.delay_ms(way) + extra_ms
    return network.is_open(way) and round_trip_ms < timeout_ms * TIMEOUT_PART


def _spread(network: Network, sources: Iterable[str], standing: Iterable[str]) -> set[str]:
    """Return the VMs that something known to the sources reaches by exchanges."""
    reached = set(sources)
    waiting = list(reached)
    while waiting:
        vm = waiting.pop()
        for peer in standing:
            calls = ((vm, peer), (peer, vm))
            if peer not in reached and any(
                _answers(network, call, EXCHANGE_TIMEOUT_MS) for call in calls
            ):
                reached.add(peer)
                waiting.append(peer)
    return reached
