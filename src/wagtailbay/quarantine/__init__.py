"""Detect requests that crash targets and refuse them in the whole fleet."""

from wagtailbay.membership import register_fact
from wagtailbay.quarantine.const import CRASH_KIND, CRASH_PREFIX
from wagtailbay.quarantine.models import CrashCount, QuarantinedRequest, request_fingerprint
from wagtailbay.quarantine.probe import refuses_connections
from wagtailbay.quarantine.recorder import CrashRecorder
from wagtailbay.quarantine.records import CrashRecord
from wagtailbay.quarantine.suspects import SuspectLimiter
from wagtailbay.quarantine.table import CrashTable

__all__ = [
    "CRASH_PREFIX",
    "CrashCount",
    "CrashRecord",
    "CrashRecorder",
    "CrashTable",
    "QuarantinedRequest",
    "SuspectLimiter",
    "refuses_connections",
    "request_fingerprint",
]

register_fact(CRASH_KIND, CrashCount)
