"""Encoding of usage reports for the platform."""

import json

from wagtailbay.transport import Request
from wagtailbay.usage import ReportOutcome, UsageReport

OUTCOMES = {200: "accepted", 429: "busy", 409: "fenced", 412: "fenced", 408: "failed"}


class UsageReportCodec:
    """Implements the usage slice's ReportCodec."""

    def encode(self, report: UsageReport) -> Request:
        """Return the request that carries a report."""
        headers = (("Duty-Holder", report.holder), ("Fencing-Token", str(report.token)))
        body = json.dumps({"window": report.window, "counts": report.counts}).encode()
        return Request("POST", "/usage", (*headers, ("Content-Type", "application/json")), body)

    def outcome(self, status: int) -> ReportOutcome:
        """Return the outcome that the status of a response states."""
        final = "rejected" if 400 <= status < 500 else "failed"
        return ReportOutcome(OUTCOMES.get(status, final))
