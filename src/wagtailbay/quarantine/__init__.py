"""Detect requests that crash targets and refuse them in the whole fleet."""

from wagtailbay.membership import register_fact
from wagtailbay.quarantine.const import CRASH_KIND
from wagtailbay.quarantine.models import CrashCount, QuarantinedRequest, request_fingerprint
from wagtailbay.quarantine.probe import refuses_connections
from wagtailbay.quarantine.suspects import SuspectLimiter
from wagtailbay.quarantine.table import CrashTable

__all__ = [
    "CrashCount",
    "CrashTable",
    "QuarantinedRequest",
    "SuspectLimiter",
    "refuses_connections",
    "request_fingerprint",
]

register_fact(CRASH_KIND, CrashCount)
