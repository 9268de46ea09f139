"""Refuse requests that crash each target that runs them."""

from wagtailbay.membership import register_fact
from wagtailbay.quarantine.const import CRASH_KIND
from wagtailbay.quarantine.lane import SuspectLane
from wagtailbay.quarantine.models import CrashCount, Quarantined, request_fingerprint
from wagtailbay.quarantine.probe import refuses_connections
from wagtailbay.quarantine.table import CrashTable

__all__ = [
    "CrashCount",
    "CrashTable",
    "Quarantined",
    "SuspectLane",
    "refuses_connections",
    "request_fingerprint",
]

register_fact(CRASH_KIND, CrashCount)
