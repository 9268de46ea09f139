"""Test that a fleet which needs no published list passes none on."""

from result import Ok

from wagtailbay.membership import FactTable
from wagtailbay.membership.listing import VmListReader
from wagtailbay.store import VmList, VmRecord


class ListStore:
    """Give one list of VMs."""

    async def vms(self):
        """Return the list."""
        return Ok(VmList(4, (VmRecord("b", "127.0.0.1:1", "z1", "live"),)))


class TestPrivateList:
    """The reader of the list keeps it to itself."""

    async def test_the_reader_knows_the_vms_and_publishes_nothing(self) -> None:
        """Guards against copies of the list at each exchange of 75 VMs (13.7 of 16.4 MB)."""
        facts = FactTable("a", 1)
        reader = VmListReader(ListStore(), facts, lambda: True, lambda: 0.0, publishes=False)
        await reader.read()
        assert [record.vm for record in reader.listed().vms] == ["b"]
        assert facts.batch_after(0, 0.0).facts == ()
