"""Test the registry of targets."""

from support.gateway import make_entry, make_objects, make_registry

from wagtailbay.replica import to_value
from wagtailbay.store import StorePosition


def usable(registry, now_s: float) -> list[str]:
    """Return the identities of the usable targets."""
    return [target.entry.target for target in registry.usable("records", now_s)]


class TestTargetRegistry:
    """Entries and evacuations decide which targets are usable."""

    def test_draining_target_is_unusable_immediately(self):
        """Guards against new requests to a target that is shutting down."""
        registry = make_registry(make_entry("a"), make_entry("b"))
        changed = make_objects("targets/", "a", 9, to_value(make_entry("a", draining=True)))
        registry.apply(changed, {}, 1.0)
        assert usable(registry, 1.0) == ["b"]

    def test_removed_target_is_unusable_immediately(self):
        """Guards against new requests to a target whose entry was removed."""
        registry = make_registry(make_entry("a"), make_entry("b"))
        registry.apply(make_objects("targets/", "a", 9, None), {}, 1.0)
        assert usable(registry, 1.0) == ["b"]

    def test_entry_expired_in_an_outage_stays_usable_for_the_grace_period(self):
        """Guards against a service without targets after a store outage."""
        registry = make_registry(make_entry("a"))
        registry.record_store_failure(10.0)
        registry.apply(make_objects("targets/", "a", 9, None), {}, 11.0)
        assert usable(registry, 12.0) == ["a"]
        assert usable(registry, 13.6) == []

    def test_restored_entry_ends_the_grace_period(self):
        """Guards against dropping a target that is alive."""
        registry = make_registry(make_entry("a"))
        registry.record_store_failure(10.0)
        registry.apply(make_objects("targets/", "a", 9, None), {}, 11.0)
        registry.apply(make_objects("targets/", "a", 10, to_value(make_entry("a"))), {}, 12.0)
        assert usable(registry, 20.0) == ["a"]

    def test_invalid_entry_does_not_affect_other_targets(self):
        """Guards against one faulty writer that takes a service down."""
        registry = make_registry(make_entry("a"))
        registry.apply(make_objects("targets/", "b", 9, {"target": 1}), {}, 1.0)
        assert usable(registry, 1.0) == ["a"]

    def test_evacuated_zone_is_unusable_and_returns_cold(self):
        """Guards against requests to an evacuated zone, and to cold targets when it returns."""
        registry = make_registry(make_entry("a"), make_entry("b", availability_zone="z2"))
        zone = make_objects("evacuations/", "z1", 8, {})
        registry.apply(zone, {"records": 3_000.0}, 1.0)
        assert usable(registry, 1.0) == ["b"]
        registry.apply(make_objects("evacuations/", "z1", 9, None), {"records": 3_000.0}, 5.0)
        assert set(usable(registry, 5.0)) == {"a", "b"}
        assert registry.targets["a"].is_cold(7.9)
        assert not registry.targets["a"].is_cold(8.1)
        assert not registry.targets["b"].is_cold(5.0)

    def test_restart_under_the_same_identity_is_a_new_target(self):
        """Guards against keeping the state of the previous run."""
        registry = make_registry(make_entry("a", born_unix_ms=1))
        restarted = make_entry("a", born_unix_ms=2, cold_remaining_ms=3_000.0)
        registry.apply(make_objects("targets/", "a", 9, to_value(restarted)), {}, 1.0)
        assert registry.targets["a"].added_s == 1.0
        assert registry.targets["a"].is_cold(4.0)


class TestRestoredStore:
    """After the store came back from an older copy, targets that live stay in use."""

    @staticmethod
    def version(era: int, revision: int) -> int:
        """Return the version of an object."""
        return StorePosition(era, revision).version

    def test_entry_that_the_copy_lacks_may_be_written_again(self):
        """Guards against a living target that gets nothing while its entry is away."""
        registry = make_registry(make_entry("a"))
        registry.apply(make_objects("targets/", "a", self.version(2, 5), None), {}, 10.0)
        assert usable(registry, 12.0) == ["a"]
        assert usable(registry, 12.6) == []

    def test_removal_at_a_lower_revision_takes_effect(self):
        """Guards against requests to a target that was removed after the return."""
        registry = make_registry(make_entry("a"))
        entry = to_value(make_entry("a"))
        registry.apply(make_objects("targets/", "a", self.version(1, 50), entry), {}, 1.0)
        registry.apply(make_objects("targets/", "a", self.version(2, 20), entry), {}, 10.0)
        registry.apply(make_objects("targets/", "a", self.version(2, 21), None), {}, 20.0)
        assert usable(registry, 20.0) == []
        registry.apply(make_objects("targets/", "a", self.version(1, 60), entry), {}, 21.0)
        assert usable(registry, 21.0) == [], "an older era changes nothing"

    def test_target_that_was_draining_gets_nothing(self):
        """Guards against requests to a leaving target whose report the copy lacks."""
        registry = make_registry(make_entry("a"), make_entry("b"))
        draining = to_value(make_entry("a", draining=True))
        registry.apply(make_objects("targets/", "a", self.version(1, 50), draining), {}, 1.0)
        entry = to_value(make_entry("a"))
        registry.apply(make_objects("targets/", "a", self.version(2, 20), entry), {}, 10.0)
        assert usable(registry, 10.0) == ["b"]
