"""Test that the list of VMs is not published to a fleet that does not need it."""

from result import Ok

from wagtailbay.membership import FactTable
from wagtailbay.membership.vm_list_reader import VmListReader
from wagtailbay.store import VmList, VmRecord


class FixedVmListStore:
    """Store stub with a fixed list of VMs."""

    async def vms(self):
        """Return the fixed list."""
        return Ok(VmList(4, (VmRecord("b", "127.0.0.1:1", "z1", "live"),)))


class TestUnpublishedVmList:
    """The reader does not share the list with other VMs."""

    async def test_reader_returns_list_without_publishing_it(self) -> None:
        """Guards against copies of the list in exchanges; with 75 VMs they were 13.7 of 16.4 MB."""
        facts = FactTable("a", 1)
        reader = VmListReader(
            FixedVmListStore(), facts, lambda: True, lambda: 0.0, publishes_list=False
        )
        await reader.read()
        assert [record.vm for record in reader.latest_list().vms] == ["b"]
        assert facts.batch_after(0, 0.0).facts == ()
