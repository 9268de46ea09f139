"""Test that a fleet which needs no published list passes none on."""

from result import Ok

from wagtailbay.membership import FactTable
from wagtailbay.membership.listing import VmListReader
from wagtailbay.store import VmList, VmRecord


class FixedVmListStore:
    """Give one list of VMs."""

    async def vms(self):
        """Return the list."""
        return Ok(VmList(4, (VmRecord("b", "127.0.0.1:1", "z1", "live"),)))


class TestUnpublishedVmList:
    """The reader of the list keeps it to itself."""

    async def test_reader_returns_list_without_publishing_it(self) -> None:
        """Guards against copies of the list at each exchange of 75 VMs (13.7 of 16.4 MB)."""
        facts = FactTable("a", 1)
        reader = VmListReader(
            FixedVmListStore(), facts, lambda: True, lambda: 0.0, publishes_list=False
        )
        await reader.read()
        assert [record.vm for record in reader.latest_list().vms] == ["b"]
        assert facts.batch_after(0, 0.0).facts == ()
