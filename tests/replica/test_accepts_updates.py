"""Tests for the test-only switch that makes a replica ignore updates."""

from wagtailbay.replica import Replica
from wagtailbay.store import StoredObject


class TestAcceptsUpdates:
    """Later objects are applied only if the replica accepts updates."""

    def test_later_object_is_applied_only_when_enabled(self) -> None:
        """Guards against a switch that has no effect or ignores updates by default."""
        for accepts_updates, expected in ((True, "new"), (False, "old")):
            replica = Replica(accepts_updates=accepts_updates)
            replica.apply([StoredObject("documents/a", 1, "old")], 1)
            replica.apply([StoredObject("documents/a", 2, "new")], 2)
            assert replica.value("documents/a") == expected
