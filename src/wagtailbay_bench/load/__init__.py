"""Open-loop load generator for entry VMs, with reports of client-side latency and errors."""

from wagtailbay_bench.load.client import LocatingClient
from wagtailbay_bench.load.models import LoadPlan, Sample, ScheduledAction, TrafficClass
from wagtailbay_bench.load.runner import run_load
from wagtailbay_bench.load.summary import ClassSummary, LoadReport, summarize

__all__ = [
    "ClassSummary",
    "LoadPlan",
    "LoadReport",
    "LocatingClient",
    "Sample",
    "ScheduledAction",
    "TrafficClass",
    "run_load",
    "summarize",
]
