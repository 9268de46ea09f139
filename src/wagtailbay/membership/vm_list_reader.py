"""Read the platform's list of VMs on the few VMs that watch the store."""

from collections.abc import Callable

import trio
from attrs import define
from result import Err, Ok

from wagtailbay.logs import log_event
from wagtailbay.membership.codec import VmListEntry, VmListFact
from wagtailbay.membership.const import (
    VM_LIST_INTERVAL_S,
    VM_LIST_KIND,
    VM_LIST_REPUBLISH_S,
    VM_LIST_TTL_MS,
)
from wagtailbay.membership.facts import Fact, FactTable
from wagtailbay.store import ObjectStore, VmList, VmRecord


@define
class VmListReader:
    """Reads the list of VMs on a store watcher and publishes it as a fact when it has changed.

    A VM without contact to any other VM is a watcher, so it finds the others through its own reads.
    Where the other VMs do not need the list, it is not published: in a fleet of 75 VMs its copies
    were four fifths of all bytes between the VMs.

    Attributes:
        is_watcher: Returns whether this VM is currently a store watcher.
        publishes_list: Whether the list is published to the other VMs.
        unpublished_list: The list that this VM read last, if it is not published.
    """

    store: ObjectStore
    facts: FactTable
    is_watcher: Callable[[], bool]
    clock: Callable[[], float]
    publishes_list: bool = True
    unpublished_list: VmList | None = None

    async def run(self) -> None:
        """Read the list periodically while this VM is a watcher, until cancelled."""
        while True:
            if self.is_watcher():
                await self.read()
            await trio.sleep(VM_LIST_INTERVAL_S)

    async def read(self) -> None:
        """Read the list once, and publish it if other VMs need it."""
        match await self.store.vms():
            case Ok(vm_list) if self.publishes_list:
                self.publish(vm_list, self.clock())
            case Ok(vm_list):
                self.unpublished_list = vm_list
            case Err(error):
                log_event("vm_list_unread", reason=error.message)

    def publish(self, vm_list: VmList, now_s: float) -> None:
        """Publish a list that is newer than the known one, or republish it before it expires."""
        newest = self._newest_fact(now_s)
        if newest is not None:
            remaining_s = newest.expires_s - now_s
            is_refresh_due = remaining_s < VM_LIST_TTL_MS / 1000 - VM_LIST_REPUBLISH_S
            if vm_list.revision < newest.value.revision or (
                vm_list.revision == newest.value.revision and not is_refresh_due
            ):
                return
        entries = (VmListEntry(r.vm, r.address, r.availability_zone, r.state) for r in vm_list.vms)
        value = VmListFact(vm_list.revision, tuple(entries))
        self.facts.publish(VM_LIST_KIND, "platform", value, ttl_ms=VM_LIST_TTL_MS, now_s=now_s)

    def latest_list(self) -> VmList | None:
        """Return the newest known list, or None if there is none."""
        if not self.publishes_list:
            return self.unpublished_list
        newest = self._newest_fact(self.clock())
        if newest is None:
            return None
        vms = newest.value.vms
        records = (VmRecord(v.vm, v.address, v.availability_zone, v.state) for v in vms)
        return VmList(newest.value.revision, tuple(records))

    def _newest_fact(self, now_s: float) -> Fact | None:
        candidates = self.facts.of_kind(VM_LIST_KIND, now_s)
        return max(candidates, key=lambda fact: (fact.value.revision, fact.expires_s), default=None)
