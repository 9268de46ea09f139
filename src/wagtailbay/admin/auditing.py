"""Record what operators did."""

import secrets
from collections.abc import Callable
from typing import Any

from attrs import frozen
from result import Ok, Result

from wagtailbay.admin.models import AdminError
from wagtailbay.audit import AuditRecord, AuditWriter
from wagtailbay.logs import log_event


@frozen
class Auditor:
    """Queue an audit record for each change and each refused attempt."""

    writer: AuditWriter
    unix_clock: Callable[[], float]

    def record_action(
        self,
        operator: str,
        action: str,
        subject: str,
        why: str,
        versions: tuple[int | None, int | None],
        result: Result[Any, AdminError],
    ) -> None:
        """Record an attempt with its versions before and after."""
        outcome, detail = "accepted", ""
        if not isinstance(result, Ok):
            error = result.err_value
            unknown = error.code == "outcome_unknown"
            outcome, detail = "unknown" if unknown else "refused", f"{error.code}: {error.message}"
        record = AuditRecord(
            record_id=secrets.token_hex(8),
            when_unix_s=self.unix_clock(),
            who=operator,
            action=action,
            subject=subject,
            from_version=versions[0],
            to_version=versions[1] if outcome == "accepted" else None,
            why=why,
            outcome=outcome,
            detail=detail[:500],
        )
        log_event("operator_action", who=operator, action=action, subject=subject, outcome=outcome)
        self.writer.enqueue(record)
