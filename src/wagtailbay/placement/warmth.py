"""Remember which objects targets handled for this VM lately."""

from collections import OrderedDict

from attrs import define, field

from wagtailbay.placement.const import MAX_RECENT_OBJECTS, RECENT_OBJECT_MAX_AGE_S
from wagtailbay.registry import RegisteredTarget

TargetKey = tuple[str, int]


def key_of(target: RegisteredTarget) -> TargetKey:
    """Return the identity and start time of one run of a target."""
    return (target.entry.target, target.entry.born_unix_ms)


@define
class RecentObjects:
    """The objects that each run of a target handled last for this VM.

    Attributes:
        by_target: When an object was handled, by target identity and start time; the newest last.
    """

    by_target: dict[TargetKey, OrderedDict[str, float]] = field(factory=dict)

    def record(self, key: TargetKey, affinity: str, now_s: float) -> None:
        """Remember that a target has handled an object."""
        handled = self.by_target.setdefault(key, OrderedDict())
        handled[affinity] = now_s
        handled.move_to_end(affinity)
        if len(handled) > MAX_RECENT_OBJECTS:
            handled.popitem(last=False)

    def contains(self, key: TargetKey, affinity: str, now_s: float) -> bool:
        """Return whether a target probably still has an object in its cache."""
        handled_s = self.by_target.get(key, {}).get(affinity)
        return handled_s is not None and now_s - handled_s < RECENT_OBJECT_MAX_AGE_S

    def prune(self, known: set[TargetKey]) -> None:
        """Forget all targets except the given ones."""
        for key in self.by_target.keys() - known:
            del self.by_target[key]
