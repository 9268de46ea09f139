"""Tests that VMs learn of deletions which nobody saw happen."""

from membership.factories import call, exchanger

from wagtailbay.membership.const import DIGESTS_BEFORE_SNAPSHOT
from wagtailbay.store import StoredObject


class TestMissedDeletions:
    """A VM that has all objects but states another digest gets a complete listing."""

    def test_deletion_before_the_restart_of_a_watcher_reaches_the_others(self) -> None:
        """Guards against a removed target in use for good, since no watcher saw its removal."""
        other, restarted = exchanger("b"), exchanger("a")
        removed, kept = StoredObject("targets/1", 1, {}), StoredObject("targets/2", 2, {})
        other.replica.replace_prefix("targets/", [removed, kept], 2)
        other.replica.apply((), 2)
        restarted.replica.replace_prefix("targets/", [kept], 3)
        restarted.replica.apply((), 3)
        for number in range(DIGESTS_BEFORE_SNAPSHOT + 1):
            assert call(restarted, other, 1.0 + number)
        assert other.replica.value("targets/1") is None
        assert other.replica.value("targets/2") == {}

    def test_equal_replicas_send_nothing(self) -> None:
        """Guards against complete listings in each message because of old deletions."""
        other, restarted = exchanger("b"), exchanger("a")
        kept = StoredObject("targets/2", 2, {})
        other.replica.apply([kept, StoredObject("targets/1", 3, None)], 3)
        restarted.replica.replace_prefix("targets/", [kept], 3)
        restarted.replica.apply((), 3)
        for number in range(2 * DIGESTS_BEFORE_SNAPSHOT):
            assert call(restarted, other, 1.0 + number)
            message = restarted.build_message("b", 2.0 + number)
            assert not message.batch.whole
            assert message.batch.objects == ()

    def test_object_that_is_deleted_at_once_is_deleted_everywhere(self) -> None:
        """Guards against a digest that is equal again before the peer knows of the deletion."""
        one, other = exchanger("a"), exchanger("b")
        call(one, other, 1.0)
        one.replica.apply([StoredObject("keys/1", 3, {})], 3)
        call(other, one, 2.0)
        one.replica.apply([StoredObject("keys/1", 4, None)], 4)
        call(one, other, 3.0)
        assert other.replica.value("keys/1") is None
