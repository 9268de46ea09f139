"""Tests of the registration of VMs in the store."""

import random

from result import Ok

from wagtailbay.membership import VmIdentity
from wagtailbay.membership.registration import VmRegistrar
from wagtailbay.platform import PlatformStore
from wagtailbay.replica import Replica
from wagtailbay_standins.objects import ObjectApiStandin


def registrar(store: PlatformStore, peer_address: str) -> VmRegistrar:
    """Return the registrar of a VM that listens for peers on an address."""
    identity = VmIdentity("10.0.0.9", 5, "10.0.0.9:1", peer_address, "z1")
    return VmRegistrar(store, identity, random.Random(1), Replica())


class TestVmRegistrar:
    """The store holds the address of the VM's latest run."""

    async def test_address_of_an_earlier_run_is_replaced(self, nursery):
        """Guards against peers that call a VM at an address that it no longer uses."""
        store = PlatformStore(await nursery.start(ObjectApiStandin().serve))
        for address in ("10.0.0.9:7", "10.0.0.9:8", "10.0.0.9:8"):
            assert await registrar(store, address).register()
        (record,) = (await store.vms()).ok_value.vms
        assert (record.vm, record.address) == ("10.0.0.9", "10.0.0.9:8")

    async def test_unchanged_entry_is_not_written_again(self, nursery):
        """Guards against a write of every VM at each restart."""
        api = ObjectApiStandin()
        store = PlatformStore(await nursery.start(api.serve))
        await registrar(store, "10.0.0.9:7").register()
        revision = api.table.revision
        await registrar(store, "10.0.0.9:7").register()
        assert api.table.revision == revision
        assert isinstance(await store.vms(), Ok)
