"""Tests of targets that announce in their answers that they are leaving."""

from support.gateway import make_entry, make_objects, make_registry

from wagtailbay.membership import FactTable
from wagtailbay.registry import LeavingTracker, TargetRegistry
from wagtailbay.registry.const import LEAVING_ANNOUNCE_DELAY_S, LEAVING_RETENTION_S
from wagtailbay.replica import to_value

BORN = 1_700_000_000_000


def registry_of(*names: str) -> TargetRegistry:
    """Return a registry of ready targets."""
    return make_registry(*(make_entry(name, born_unix_ms=BORN) for name in names))


def usable(registry: TargetRegistry, now_s: float) -> list[str]:
    """Return the names of the usable targets."""
    return [target.entry.target for target in registry.usable("records", now_s)]


def tracker_of(vm: str, registry: TargetRegistry) -> LeavingTracker:
    """Return the tracker of one VM."""
    return LeavingTracker(registry, FactTable(vm, 1), lambda: 0.0)


def transfer(sender: LeavingTracker, receiver: LeavingTracker, now_s: float) -> None:
    """Send the facts of one VM to another one."""
    receiver.facts.merge(sender.facts.batch_after(0, now_s).facts)
    receiver.exchange(now_s)


class TestLeavingMark:
    """A target that says that it is leaving gets nothing, whatever the store says."""

    def test_leaving_target_is_not_usable(self):
        """Guards against new requests at a target whose answer said that it is leaving."""
        registry = registry_of("a", "b")
        registry.mark_leaving("a", BORN, 1.0)
        assert usable(registry, 1.0) == ["b"]

    def test_newer_entry_of_the_same_run_does_not_clear_the_mark(self):
        """Guards against a late or repeated entry that still says ready."""
        registry = registry_of("a", "b")
        registry.mark_leaving("a", BORN, 1.0)
        entry = make_entry("a", born_unix_ms=BORN, cold_remaining_ms=5.0)
        registry.apply(make_objects("targets/", "a", 9, to_value(entry)), {}, 2.0)
        assert usable(registry, 2.0) == ["b"]

    def test_entry_that_comes_back_does_not_clear_the_mark(self):
        """Guards against an outdated peer that restores the entry of a target that has left."""
        registry = registry_of("a", "b")
        registry.mark_leaving("a", BORN, 1.0)
        registry.apply(make_objects("targets/", "a", 9, None), {}, 2.0)
        registry.prune_removed(20.0)
        entry = make_entry("a", born_unix_ms=BORN)
        registry.apply(make_objects("targets/", "a", 10, to_value(entry)), {}, 21.0)
        assert usable(registry, 21.0) == ["b"]

    def test_next_run_is_usable(self):
        """Guards against a target that stays unused after its restart."""
        registry = registry_of("a", "b")
        registry.mark_leaving("a", BORN, 1.0)
        entry = make_entry("a", born_unix_ms=BORN + 1)
        registry.apply(make_objects("targets/", "a", 9, to_value(entry)), {}, 2.0)
        assert usable(registry, 2.0) == ["a", "b"]

    def test_marks_do_not_accumulate(self):
        """Guards against memory that grows with every target that ever left."""
        registry = registry_of("a")
        registry.mark_leaving("a", BORN, 1.0)
        registry.prune_removed(2.0 + LEAVING_RETENTION_S)
        assert registry.leaving_since_s == {}


class TestLeavingTracker:
    """VMs tell each other of leaving targets that the store shows as ready."""

    def test_other_vms_learn_of_a_leaving_target(self):
        """Guards against other VMs that use the target until the store is back."""
        first, second = tracker_of("x", registry_of("a", "b")), registry_of("a", "b")
        first.registry.mark_leaving("a", BORN, 1.0)
        first.exchange(1.0 + LEAVING_ANNOUNCE_DELAY_S)
        transfer(first, tracker_of("y", second), 2.0)
        assert usable(second, 2.0) == ["b"]

    def test_restarted_vm_learns_of_it(self):
        """Guards against a VM that uses a target again after its own restart."""
        first, second = tracker_of("x", registry_of("a", "b")), tracker_of("y", registry_of("a"))
        first.registry.mark_leaving("a", BORN, 1.0)
        first.exchange(1.0 + LEAVING_ANNOUNCE_DELAY_S)
        transfer(first, second, 2.0)
        restarted = registry_of("a", "b")
        transfer(second, LeavingTracker(restarted, FactTable("x", 2), lambda: 0.0), 3.0)
        assert usable(restarted, 3.0) == ["b"]

    def test_target_known_to_the_store_is_not_announced(self):
        """Guards against a message of every VM to every other one for each planned stop."""
        tracker = tracker_of("x", registry_of("a", "b"))
        tracker.registry.mark_leaving("a", BORN, 1.0)
        entry = make_entry("a", born_unix_ms=BORN, draining=True)
        objects = make_objects("targets/", "a", 9, to_value(entry))
        tracker.registry.apply(objects, {}, 1.1)
        tracker.exchange(1.0 + LEAVING_ANNOUNCE_DELAY_S)
        assert tracker.facts.facts == {}

    def test_heard_target_is_not_announced_again(self):
        """Guards against as many announcements as VMs."""
        first, second = tracker_of("x", registry_of("a")), tracker_of("y", registry_of("a"))
        first.registry.mark_leaving("a", BORN, 1.0)
        first.exchange(1.0 + LEAVING_ANNOUNCE_DELAY_S)
        transfer(first, second, 2.0)
        second.exchange(9.0)
        assert [fact.vm for fact in second.facts.facts.values()] == ["x"]
