"""Probe targets and combine what is known about their state."""

from wagtailbay.health.const import TARGET_REPORT_KIND
from wagtailbay.health.models import (
    FailureSign,
    LoadAnswer,
    TargetReport,
    TargetState,
    TargetStates,
    TargetView,
)
from wagtailbay.health.monitor import HealthMonitor
from wagtailbay.health.outlier import OutlierDetector
from wagtailbay.health.probe import ProbeLoop
from wagtailbay.health.state import TargetHealth
from wagtailbay.membership import register_fact

__all__ = [
    "FailureSign",
    "HealthMonitor",
    "LoadAnswer",
    "OutlierDetector",
    "ProbeLoop",
    "TargetHealth",
    "TargetReport",
    "TargetState",
    "TargetStates",
    "TargetView",
]

register_fact(TARGET_REPORT_KIND, TargetReport)
