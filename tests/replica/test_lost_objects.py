"""Test that objects which a restore of the store lost stay in force for a while."""

from collections.abc import Mapping
from math import inf

from support.gateway import make_objects

from wagtailbay.replica import LostObjectHold
from wagtailbay.replica.const import LOST_OBJECT_HOLD_S
from wagtailbay.store import StoredObject, StorePosition

KEY = "evacuations/z1"


def objects_at(era: int, revision: int, value: object | None) -> dict[str, StoredObject]:
    """Return an evacuation, or its deletion, at a position of the store."""
    version = StorePosition(era, revision).version
    return make_objects("evacuations/", "z1", version, value)


def apply(
    hold: LostObjectHold,
    objects: dict[str, StoredObject],
    now_s: float,
    answered_s: float | None = None,
) -> Mapping[str, StoredObject]:
    """Apply objects; the store answered at the given time, or does so now."""
    era = max(StorePosition.era_of(stored.version) for stored in objects.values())
    return hold.apply(objects, era, now_s, now_s if answered_s is None else answered_s)


def create_hold() -> LostObjectHold:
    """Return a hold that knows an evacuation of the first era."""
    hold = LostObjectHold(("evacuations/",))
    apply(hold, objects_at(1, 30, {}), 0.0)
    return hold


class TestLostObjectHold:
    """Lost objects stay in force until their writers had time to write them again."""

    def test_lost_object_is_held_until_due(self):
        """Guards against an order of the operator that ends because the store lost it."""
        hold, lost = create_hold(), objects_at(2, 9, None)
        assert apply(hold, lost, 5.0)[KEY].value == {}
        assert hold.wait_s(6.0) == LOST_OBJECT_HOLD_S - 1.0
        assert apply(hold, lost, 5.0 + LOST_OBJECT_HOLD_S - 0.1)[KEY].value == {}

    def test_object_that_is_not_written_again_ends(self):
        """Guards against an order that stays in force although the store no longer has it."""
        hold, lost = create_hold(), objects_at(2, 9, None)
        apply(hold, lost, 5.0)
        assert apply(hold, lost, 5.0 + LOST_OBJECT_HOLD_S)[KEY].value is None
        assert apply(hold, lost, 5.0 + LOST_OBJECT_HOLD_S)[KEY].value is None
        assert hold.wait_s(9.0) == inf

    def test_deletion_takes_effect_at_once(self):
        """Guards against holding an order that its operator has taken back."""
        hold = create_hold()
        assert apply(hold, objects_at(1, 31, None), 5.0)[KEY].value is None

    def test_object_that_was_written_again_can_be_deleted(self):
        """Guards against holding an order that was written again and then taken back."""
        hold = create_hold()
        apply(hold, objects_at(2, 9, None), 5.0)
        assert apply(hold, objects_at(2, 10, {}), 6.0)[KEY].value == {}
        assert hold.wait_s(6.0) == inf
        assert apply(hold, objects_at(2, 11, None), 6.5)[KEY].value is None

    def test_lost_object_is_held_while_the_store_is_away(self):
        """Guards against an order that ends while its operator cannot write it again."""
        hold, lost = create_hold(), objects_at(2, 9, None)
        apply(hold, lost, 5.0)
        assert apply(hold, lost, 60.0, 5.0 + LOST_OBJECT_HOLD_S - 0.1)[KEY].value == {}
        assert 0 < hold.wait_s(60.0) < 1.0
        assert apply(hold, lost, 60.5, 60.4)[KEY].value is None

    def test_second_restore_gives_the_writer_time_again(self):
        """Guards against an order that ends after a series of restores."""
        hold, lost = create_hold(), objects_at(2, 9, None)
        apply(hold, lost, 5.0)
        hold.apply(lost, 3, 7.0, 7.0)
        due_s = 7.0 + LOST_OBJECT_HOLD_S
        assert hold.apply(lost, 3, due_s - 0.1, due_s - 0.1)[KEY].value == {}
        assert hold.apply(lost, 3, due_s, due_s)[KEY].value is None

    def test_other_objects_are_not_held(self):
        """Guards against targets whose removal takes effect later than stated."""
        hold = LostObjectHold(("evacuations/",))
        apply(hold, make_objects("targets/", "a", StorePosition(1, 30).version, {}), 0.0)
        lost = make_objects("targets/", "a", StorePosition(2, 9).version, None)
        assert apply(hold, lost, 5.0) is lost
