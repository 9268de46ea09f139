"""Audit records of the changes that operators request."""

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
    """Creates an audit record for each change, whether it was accepted or not."""

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
        """Log a requested change and queue its audit record.

        Args:
            operator: Who requested the change.
            action: The audit name of the change, for example ``document.submit``.
            subject: The key of the object.
            why: The reason that the operator gave.
            versions: The versions before and after; the latter counts only on success.
            result: The result of the change.
        """
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
