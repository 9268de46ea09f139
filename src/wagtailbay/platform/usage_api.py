"""Encoding of usage reports for the platform."""

import json

from wagtailbay.transport import Request
from wagtailbay.usage import UsageReport


class UsageReportCodec:
    """Implements the usage slice's ReportCodec."""

    def encode(self, report: UsageReport) -> Request:
        """Return the request that carries a report."""
        headers = (("Duty-Holder", report.holder), ("Fencing-Token", str(report.token)))
        body = json.dumps({"window": report.window, "counts": report.counts}).encode()
        return Request("POST", "/usage", (*headers, ("Content-Type", "application/json")), body)
