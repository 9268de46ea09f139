"""Test replicas of a store that comes back from an older copy."""

from hypothesis import given, settings
from hypothesis import strategies as st
from membership.factories import call, exchanger

from wagtailbay.membership import Exchanger
from wagtailbay.replica import Replica
from wagtailbay.store import StoredObject, StorePosition

PREFIXES = ("a/", "b/")
KEYS = ("a/1", "a/2", "b/1", "b/2")
# What happens, and two numbers that say where.
STEPS = st.tuples(
    st.sampled_from(["write", "list", "call", "copy", "restore"]),
    st.integers(0, 3),
    st.integers(0, 2),
)


class Store:
    """Objects of a store with eras, without a network."""

    def __init__(self) -> None:
        self.position = StorePosition(1, 0)
        self.objects: dict[str, tuple[int, object]] = {}
        self.copies = [(0, {})]
        self.lost = 0

    def write(self, key: str, value: object) -> None:
        """Write an object, or delete it with the value None."""
        revision = self.position.revision + 1
        self.position = StorePosition(self.position.era, revision)
        self.objects = self.objects | {key: (revision, value)}
        if value is None:
            self.objects = {k: v for k, v in self.objects.items() if k != key}

    def copy(self) -> None:
        """Keep a copy."""
        self.copies.append((self.position.revision, self.objects))

    def restore(self, index: int) -> None:
        """Come back from a copy."""
        revision, objects = self.copies[index % len(self.copies)]
        self.lost += self.objects != objects
        self.position = StorePosition(self.position.era + 1, revision)
        self.objects = objects
        self.copies = self.copies[: index % len(self.copies) + 1]

    def values(self) -> dict[str, object]:
        """Return the values of all objects."""
        return {key: value for key, (_, value) in self.objects.items()}

    def list_into(self, replica: Replica, prefixes: tuple[str, ...] = PREFIXES) -> None:
        """Replicate a listing of each prefix, and the revision if it covers all."""
        era = self.position.era
        for prefix in prefixes:
            listed = [
                StoredObject(key, StorePosition(era, revision).version, value)
                for key, (revision, value) in self.objects.items()
                if key.startswith(prefix)
            ]
            replica.replace_prefix(prefix, listed, self.position.version)
        if prefixes == PREFIXES:
            replica.apply((), self.position.version)


def values(replica: Replica) -> dict[str, object]:
    """Return the values of the existing objects."""
    return {o.key: o.value for o in replica.existing_objects()}


def exchange_all(vms: list[Exchanger], now_s: float) -> None:
    """Exchange messages between all VMs often enough to find missed deletions."""
    for step in range(8):
        for one in vms:
            for other in vms:
                if one is not other:
                    assert call(one, other, now_s + step)


class TestReplicasAfterRestores:
    """Replicas end equal to the store, whatever it lost."""

    def test_object_that_the_store_lost_is_gone_everywhere(self) -> None:
        """Guards against an object that stays with VMs that got it from a peer only."""
        store, reader, other = Store(), exchanger("a"), exchanger("b")
        store.list_into(reader.replica)
        store.copy()
        store.write("a/1", "lost")
        store.list_into(reader.replica)
        exchange_all([reader, other], 1.0)
        assert values(other.replica) == {"a/1": "lost"}
        store.restore(1)
        store.write("a/2", "new")
        store.list_into(reader.replica)
        exchange_all([reader, other], 10.0)
        assert values(other.replica) == {"a/2": "new"}

    def test_deletion_before_a_restart_reaches_the_others(self) -> None:
        """Guards against a removed target in use for good, since its watcher has restarted."""
        store, other = Store(), exchanger("b")
        store.write("a/1", "removed")
        store.write("a/2", "kept")
        store.list_into(other.replica)
        store.write("a/1", None)
        restarted = exchanger("a")
        store.list_into(restarted.replica)
        exchange_all([restarted, other], 1.0)
        assert values(other.replica) == {"a/2": "kept"}

    def test_vm_of_an_older_era_changes_nothing(self) -> None:
        """Guards against a paused VM that brings lost objects back."""
        store, reader, paused = Store(), exchanger("a"), exchanger("b")
        store.copy()
        store.write("a/1", "lost")
        store.write("b/1", "lost")
        store.list_into(paused.replica)
        store.restore(1)
        store.list_into(reader.replica)
        assert call(paused, reader, 1.0)
        assert values(reader.replica) == {}
        exchange_all([reader, paused], 2.0)
        assert values(paused.replica) == {}

    def test_empty_listing_shows_the_new_era(self) -> None:
        """Guards against a loss that is due before the replica knows of the next restore."""
        store, replica = Store(), Replica()
        store.write("a/1", "kept")
        store.copy()
        store.list_into(replica)
        store.restore(1)
        store.list_into(replica, PREFIXES[1:])
        assert replica.era == store.position.era
        assert values(replica) == {"a/1": "kept"}

    def test_late_listing_of_an_older_era_changes_nothing(self) -> None:
        """Guards against an answer that was under way during the restore."""
        store, replica = Store(), Replica()
        store.write("a/1", "lost")
        late = [StoredObject("a/1", store.position.version, "lost")]
        late_revision = store.position.version
        store.restore(0)
        store.list_into(replica)
        replica.replace_prefix("a/", late, late_revision)
        assert values(replica) == {}

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.lists(STEPS, min_size=5, max_size=40))
    def test_any_order_of_listings_messages_and_restores(self, steps: list[tuple]) -> None:
        """Guards against replicas that differ from the store for good."""
        store = Store()
        vms = [exchanger(name) for name in ("a", "b", "c")]
        for number, (step, first, second) in enumerate(steps):
            vm = vms[first % 3]
            if step == "write":
                store.write(KEYS[first], number if second else None)
            elif step == "list":
                store.list_into(vm.replica, (PREFIXES, PREFIXES[:1], PREFIXES[1:])[second])
            elif step == "call":
                call(vm, vms[(first + 1 + second % 2) % 3], float(number))
            elif step == "copy":
                store.copy()
            else:
                store.restore(first)
        store.list_into(vms[0].replica)
        exchange_all(vms, 100.0)
        for vm in vms:
            assert values(vm.replica) == store.values()
