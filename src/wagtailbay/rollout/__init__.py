"""Shift a service's traffic to a new version, and roll back if it fails."""

from wagtailbay.rollout.const import ROLLOUT_PREFIX
from wagtailbay.rollout.controller import RolloutController
from wagtailbay.rollout.models import RolloutOrder, RolloutPhase
from wagtailbay.rollout.version_splitter import VersionSplitter

__all__ = [
    "ROLLOUT_PREFIX",
    "RolloutController",
    "RolloutOrder",
    "RolloutPhase",
    "VersionSplitter",
]
