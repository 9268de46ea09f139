"""Test the checks of leaving targets, stops and configuration on histories made by hand."""

from prove.histories import HistoryBuilder

from wagtailbay_bench.prove.checks.fleet import check_drains, check_revisions, check_stops
from wagtailbay_bench.prove.models import Drained, RevisionRead


class TestDrains:
    """A drained target runs nothing after a few seconds."""

    def test_late_run(self) -> None:
        """Guards against a drained target that keeps getting work."""
        for sent_s, found in ((5.0, False), (10.0, True)):
            builder = HistoryBuilder(drained=[Drained("t", 2.0), Drained("t", 9.0)])
            builder.request(sent_s, "t")
            assert bool(list(check_drains(builder.history))) is found


class TestStops:
    """A planned stop cuts no request."""

    def test_cut_request(self) -> None:
        """Guards against a request that a stopping VM cuts; a killed VM may."""
        for killed, found in ((set(), True), ({"vm-1"}, False)):
            builder = HistoryBuilder(killed_vms=killed)
            builder.request(1.0, status=0, code="closed")
            assert bool(list(check_stops(builder.history))) is found


class TestRevisions:
    """Each VM has an accepted revision within seconds and keeps it."""

    def test_reverted(self) -> None:
        """Guards against a VM that goes back to an older revision."""
        reads = [RevisionRead("vm-1", 1, float(n), revision) for n, revision in enumerate((3, 4))]
        builder = HistoryBuilder(revisions=reads)
        assert not list(check_revisions(builder.history))
        builder.history.revisions.append(RevisionRead("vm-1", 1, 3.0, 2))
        assert list(check_revisions(builder.history))

    def test_late(self) -> None:
        """Guards against a VM that lacks an accepted revision after the bound."""
        reads = [RevisionRead("vm-1", 1, 20.0, 3)]
        builder = HistoryBuilder(revisions=reads, in_force=[(2.0, 4)])
        assert list(check_revisions(builder.history))
