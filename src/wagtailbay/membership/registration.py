"""Register this VM in the store, so that VMs without a common peer can find each other."""

import random

import trio
from attrs import define
from result import Err, Ok

from wagtailbay.logs import log_event
from wagtailbay.membership.const import (
    REGISTRATION_PREFIX,
    REGISTRATION_RETRY_S,
    REGISTRATION_SPREAD_S,
)
from wagtailbay.membership.models import VmIdentity
from wagtailbay.replica import Replica
from wagtailbay.store import ObjectStore, VersionConflict


@define
class VmRegistrar:
    """Writes the VM's peer address and zone under its name, in place of those of an earlier run.

    Attributes:
        replica: Shows when the store came back from an older copy, which may lack the entry.
    """

    store: ObjectStore
    identity: VmIdentity
    rng: random.Random
    replica: Replica

    async def run(self) -> None:
        """Keep the entry in the store until cancelled."""
        while True:
            era = self.replica.era
            while not await self.register():
                await trio.sleep(REGISTRATION_RETRY_S * self.rng.uniform(0.5, 1.5))
            while self.replica.era == era:
                await self.replica.changed.wait()
            # Spreads the writes of a fleet that sees the new era at the same moment.
            await trio.sleep(REGISTRATION_SPREAD_S * self.rng.random())

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
