"""Test the switch by which a replica stays at its first objects."""

from wagtailbay.replica import Replica
from wagtailbay.store import StoredObject


class TestAcceptsUpdates:
    """Without following, later objects are left out; with it, they are taken in."""

    def test_later_object_is_applied_only_when_enabled(self) -> None:
        """Guards against a switch that leaves nothing out, or that is off by default."""
        for accepts_updates, expected in ((True, "new"), (False, "old")):
            replica = Replica(accepts_updates=accepts_updates)
            replica.apply([StoredObject("documents/a", 1, "old")], 1)
            replica.apply([StoredObject("documents/a", 2, "new")], 2)
            assert replica.value("documents/a") == expected
