"""Cut, freeze and slow down the links of a running deployment."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio
import trustme

from wagtailbay_bench.network import PLATFORM, DirectedLink, LinkFault
from wagtailbay_bench.prove.const import LONGEST_CUT_S
from wagtailbay_bench.prove.context import FaultContext

# How long a new authority is trusted beside the old one before and after the change of keys.
AUTHORITY_OVERLAP_S: Final = 1.5


async def disturb(
    context: FaultContext, ways: frozenset[DirectedLink], delay_ms: float = 0.0
) -> None:
    """Slow ways down, or let nothing pass by closing connections or by losing all bytes."""
    frozen = context.random.random() < 0.5
    link_fault = LinkFault(ways, not frozen, frozen)
    if delay_ms:
        link_fault = LinkFault(ways, delay_ms=delay_ms)
    async with context.network.inject_fault(link_fault):
        await context.hold(1.0, LONGEST_CUT_S)


async def cut_vm_from_peers(context: FaultContext) -> None:
    """Cut one VM off from all its peers."""
    vms = context.deployment.vm_addresses.keys()
    await disturb(context, context.network.links_between({context.any_vm()}, vms))


async def cut_vm_from_platform(context: FaultContext) -> None:
    """Cut one VM off from the platform."""
    await disturb(context, context.network.links_between({context.any_vm()}, {PLATFORM}))


async def cut_vm_from_all(context: FaultContext) -> None:
    """Cut one VM off from everything but its callers."""
    await disturb(context, context.network.links_between({context.any_vm()}, context.network.zones))


async def cut_platform(context: FaultContext) -> None:
    """Cut the platform off from all VMs but one or two."""
    vms = list(context.deployment.vm_addresses)
    cut = context.random.sample(vms, len(vms) - context.random.choice((1, 2)))
    await disturb(context, context.network.links_between(cut, {PLATFORM}))


async def freeze_link(context: FaultContext) -> None:
    """Let one link accept connections and pass nothing, in one direction of calls only."""
    way = context.random.choice(sorted(context.network.routes))
    async with context.network.inject_fault(LinkFault(frozenset({way}), frozen=True)):
        await context.hold(1.0, LONGEST_CUT_S)


async def slow_links(context: FaultContext) -> None:
    """Add a delay to everything between the regions, or to everything of one VM."""
    delay_ms = context.random.choice((50.0, 200.0, 400.0))
    whole = context.random.random() < 0.5
    vm_ways = context.network.links_between({context.any_vm()}, context.network.zones)
    await disturb(context, _between_regions(context) if whole else vm_ways, delay_ms)


async def split_regions(context: FaultContext) -> None:
    """Let nothing pass between the two regions; the store is in one of them."""
    await disturb(context, _between_regions(context))


def _between_regions(context: FaultContext) -> frozenset[DirectedLink]:
    network = context.network
    one, other = sorted(set(network.regions.values()))
    return network.links_between(network.endpoints_in(one), network.endpoints_in(other))


async def lose_region(context: FaultContext) -> None:
    """Cut all ends of a region off, from each other too; kill its VMs in half of the cases."""
    network = context.network
    region = context.random.choice(sorted(set(network.regions.values())))
    ends = network.endpoints_in(region)
    ways = network.links_between(ends, network.zones)
    vms = sorted(ends & context.deployment.vm_addresses.keys())
    killing = context.random.random() < 0.5
    with context.reserved(vms if killing else []) as killed:
        async with network.inject_fault(LinkFault(ways, cut=True)):
            for vm in killed:
                context.kill(vm)
            await context.hold(1.0, LONGEST_CUT_S)
        async with trio.open_nursery() as nursery:
            for vm in killed:
                nursery.start_soon(context.restart, vm)


async def rotate_certificates(context: FaultContext) -> None:
    """Replace all VMs' keys and certificates, in half of the cases with a new authority."""
    folder = context.certificates
    if folder is None:
        return
    if context.random.random() < 0.5:
        folder.issue()
        return
    old, folder.authority = folder.authority, trustme.CA()
    new = folder.authority
    folder.trust(old, new)
    await trio.sleep(AUTHORITY_OVERLAP_S)
    folder.issue()
    await trio.sleep(AUTHORITY_OVERLAP_S)
    folder.trust(new)


NETWORK_FAULTS: dict[str, Callable[[FaultContext], Awaitable[None]]] = {
    "cut-vm-from-peers": cut_vm_from_peers,
    "cut-vm-from-platform": cut_vm_from_platform,
    "cut-vm-from-all": cut_vm_from_all,
    "cut-platform": cut_platform,
    "freeze-link": freeze_link,
    "slow-links": slow_links,
    "split-regions": split_regions,
    "lose-region": lose_region,
    "rotate-certificates": rotate_certificates,
}
