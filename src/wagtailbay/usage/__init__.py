"""Count the requests that targets began to run, and report them to the platform by window."""

from wagtailbay.usage.assembly import UsageParts, UsageSurroundings, build_usage, new_run_id
from wagtailbay.usage.models import ReportOutcome, UsageReport, UsageSettings
from wagtailbay.usage.sender import UsageSender
from wagtailbay.usage.settings import parse_usage_settings

__all__ = [
    "ReportOutcome",
    "UsageParts",
    "UsageReport",
    "UsageSender",
    "UsageSettings",
    "UsageSurroundings",
    "build_usage",
    "new_run_id",
    "parse_usage_settings",
]
