"""Network faults: closed, frozen and slow links, lost regions and certificate rotation."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio
import trustme

from wagtailbay_bench.network import PLATFORM, DirectedLink, LinkFault
from wagtailbay_bench.prove.const import MAX_LINK_FAULT_S
from wagtailbay_bench.prove.context import FaultContext

# Both authorities are trusted for this long before and after the certificates are replaced.
AUTHORITY_OVERLAP_S: Final = 1.5


async def apply_link_fault(
    context: FaultContext, links: frozenset[DirectedLink], delay_ms: float = 0.0
) -> None:
    """Delay some links for a random time, or block them.

    A blocked link either closes its connections or drops all bytes silently.
    """
    freeze = context.rng.random() < 0.5
    link_fault = LinkFault(links, not freeze, freeze)
    if delay_ms:
        link_fault = LinkFault(links, delay_ms=delay_ms)
    async with context.network.inject_fault(link_fault):
        await context.sleep_random(1.0, MAX_LINK_FAULT_S)


async def cut_vm_from_peers(context: FaultContext) -> None:
    """Block the links between one VM and all its peers."""
    vms = context.deployment.vm_addresses.keys()
    await apply_link_fault(context, context.network.links_between({context.choose_vm()}, vms))


async def cut_vm_from_platform(context: FaultContext) -> None:
    """Block the links between one VM and the platform."""
    await apply_link_fault(
        context, context.network.links_between({context.choose_vm()}, {PLATFORM})
    )


async def cut_vm_from_all(context: FaultContext) -> None:
    """Block all links of one VM except those from its callers."""
    await apply_link_fault(
        context, context.network.links_between({context.choose_vm()}, context.network.zones)
    )


async def cut_platform(context: FaultContext) -> None:
    """Block the links between the platform and all but one or two VMs."""
    vms = list(context.deployment.vm_addresses)
    cut = context.rng.sample(vms, len(vms) - context.rng.choice((1, 2)))
    await apply_link_fault(context, context.network.links_between(cut, {PLATFORM}))


async def freeze_link(context: FaultContext) -> None:
    """Make one link accept connections but forward nothing, for calls in one direction only."""
    link = context.rng.choice(sorted(context.network.routes))
    async with context.network.inject_fault(LinkFault(frozenset({link}), frozen=True)):
        await context.sleep_random(1.0, MAX_LINK_FAULT_S)


async def slow_links(context: FaultContext) -> None:
    """Add a delay to all links between the regions or to all links of one VM."""
    delay_ms = context.rng.choice((50.0, 200.0, 400.0))
    slow_regions = context.rng.random() < 0.5
    vm_links = context.network.links_between({context.choose_vm()}, context.network.zones)
    await apply_link_fault(
        context, _links_between_regions(context) if slow_regions else vm_links, delay_ms
    )


async def split_regions(context: FaultContext) -> None:
    """Block all links between the two regions; the store is in one of them."""
    await apply_link_fault(context, _links_between_regions(context))


def _links_between_regions(context: FaultContext) -> frozenset[DirectedLink]:
    network = context.network
    one, other = sorted(set(network.regions.values()))
    return network.links_between(network.endpoints_in(one), network.endpoints_in(other))


async def lose_region(context: FaultContext) -> None:
    """Cut all links of a region's endpoints, also between them.

    Half of the time, also kill the region's VMs and restart them afterwards.
    """
    network = context.network
    region = context.rng.choice(sorted(set(network.regions.values())))
    ends = network.endpoints_in(region)
    links = network.links_between(ends, network.zones)
    vms = sorted(ends & context.deployment.vm_addresses.keys())
    kill_vms = context.rng.random() < 0.5
    with context.reserve_vms(vms if kill_vms else []) as killed_vms:
        async with network.inject_fault(LinkFault(links, cut=True)):
            for vm in killed_vms:
                context.kill_vm(vm)
            await context.sleep_random(1.0, MAX_LINK_FAULT_S)
        async with trio.open_nursery() as nursery:
            for vm in killed_vms:
                nursery.start_soon(context.restart_vm, vm)


async def rotate_certificates(context: FaultContext) -> None:
    """Replace the keys and certificates of all VMs, half of the time under a new authority."""
    folder = context.certificates
    if folder is None:
        return
    if context.rng.random() < 0.5:
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
