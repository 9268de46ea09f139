"""Register this VM in the store, so that VMs without a common peer can find each other."""

import random

import trio
from attrs import define
from result import Err, Ok

from wagtailbay.logs import log_event
from wagtailbay.membership.const import REGISTRATION_PREFIX, REGISTRATION_RETRY_S
from wagtailbay.membership.models import VmIdentity
from wagtailbay.store import ObjectStore, VersionConflict


@define
class VmRegistrar:
    """Writes the VM's peer address and zone under its name, in place of those of an earlier run."""

    store: ObjectStore
    identity: VmIdentity
    rng: random.Random

    async def run(self) -> None:
        """Retry until the entry is in the store."""
        while not await self.register():
            await trio.sleep(REGISTRATION_RETRY_S * self.rng.uniform(0.5, 1.5))

    async def register(self) -> bool:
        """Write the entry unless the store has it; return whether it is in the store now."""
        identity = self.identity
        value = {"address": identity.peer_address, "zone": identity.availability_zone}
        key = REGISTRATION_PREFIX + identity.vm
        put_result = await self.store.put(key, value, 0)
        if isinstance(put_result, Err) and isinstance(put_result.err_value, VersionConflict):
            stored = await self.store.get(key)
            if isinstance(stored, Ok) and stored.ok_value is not None:
                if stored.ok_value.value == value:
                    return True
                put_result = await self.store.put(key, value, stored.ok_value.version)
        if isinstance(put_result, Err):
            log_event("vm_not_registered", reason=str(put_result.err_value))
            return False
        return True
