"""Probe targets, aggregate their health reports and detect outliers."""

from wagtailbay.health.aggregator import HealthAggregator
from wagtailbay.health.const import TARGET_REPORT_KIND
from wagtailbay.health.models import (
    FailureReason,
    ReportedLoad,
    TargetHealthSource,
    TargetReport,
    TargetState,
    TargetView,
)
from wagtailbay.health.monitor import HealthMonitor
from wagtailbay.health.outlier import OutlierDetector
from wagtailbay.health.probe import ProbeLoop
from wagtailbay.membership import register_fact

__all__ = [
    "FailureReason",
    "HealthMonitor",
    "ReportedLoad",
    "OutlierDetector",
    "ProbeLoop",
    "HealthAggregator",
    "TargetReport",
    "TargetState",
    "TargetHealthSource",
    "TargetView",
]

register_fact(TARGET_REPORT_KIND, TargetReport)
