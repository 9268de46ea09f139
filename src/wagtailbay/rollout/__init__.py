"""Move a service's traffic to a new version, or back if it is bad."""

from wagtailbay.rollout.const import ROLLOUT_PREFIX
from wagtailbay.rollout.keeper import RolloutKeeper
from wagtailbay.rollout.models import RolloutOrder, RolloutPhase
from wagtailbay.rollout.traffic import RolloutTraffic

__all__ = [
    "ROLLOUT_PREFIX",
    "RolloutKeeper",
    "RolloutOrder",
    "RolloutPhase",
    "RolloutTraffic",
]
