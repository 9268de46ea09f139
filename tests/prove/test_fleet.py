"""Test the checks of drains, planned stops and configuration on synthetic histories."""

from prove.histories import HistoryBuilder

from wagtailbay_bench.prove.checks.fleet import check_drains, check_revisions, check_stops
from wagtailbay_bench.prove.models import ObservedRevision, TargetDrain


class TestDrains:
    """A drained target runs nothing after the bound."""

    def test_late_run(self) -> None:
        """Guards against a drained target that still receives requests.

        The bound counts from the first drain, also if the target is drained again.
        """
        for sent_s, is_violation in ((5.0, False), (10.0, True)):
            builder = HistoryBuilder(target_drains=[TargetDrain("t", 2.0), TargetDrain("t", 9.0)])
            builder.add_request(sent_s, "t")
            assert bool(list(check_drains(builder.history))) is is_violation


class TestStops:
    """A planned stop of a VM cuts no request off."""

    def test_cut_request(self) -> None:
        """Guards against a VM that cuts a request off in a planned stop; a killed VM may do so."""
        for disrupted, is_violation in ((set(), True), ({"vm-1"}, False)):
            builder = HistoryBuilder(disrupted_vms=disrupted)
            builder.add_request(1.0, status=0, code="closed")
            assert bool(list(check_stops(builder.history))) is is_violation


class TestRevisions:
    """Each VM applies an accepted revision within the bound and never reverts it."""

    def test_revision_goes_back(self) -> None:
        """Guards against a VM that reverts to an older revision."""
        observations = [
            ObservedRevision("vm-1", 1, float(n), revision) for n, revision in enumerate((3, 4))
        ]
        builder = HistoryBuilder(observed_revisions=observations)
        assert not list(check_revisions(builder.history))
        builder.history.observed_revisions.append(ObservedRevision("vm-1", 1, 3.0, 2))
        assert list(check_revisions(builder.history))

    def test_missing_revision(self) -> None:
        """Guards against a VM that misses an accepted revision after the bound."""
        observations = [ObservedRevision("vm-1", 1, 20.0, 3)]
        builder = HistoryBuilder(observed_revisions=observations, accepted_revisions=[(2.0, 4)])
        assert list(check_revisions(builder.history))
