"""Model the records of the audit trail."""

from attrs import field, frozen


@frozen
class AuditRecord:
    """Record one change, or one attempt that was refused.

    Attributes:
        record_id: Random; also the end of the object's key.
        when_unix_s: When the answer was decided.
        who: The operator's name, or the VM that acted by itself.
        action: What was done, for example ``document.submit``.
        subject: The key of the object concerned, without any secret.
        from_version: The version before, 0 for none, None where it is not known.
        to_version: The version after, None where nothing changed.
        why: The reason that the operator gave.
        outcome: ``accepted``, ``refused`` or ``unknown``.
        detail: Why it was refused.
    """

    record_id: str
    when_unix_s: float
    who: str
    action: str
    subject: str
    from_version: int | None
    to_version: int | None
    why: str
    outcome: str
    detail: str = ""


@frozen
class AuditPage:
    """Hold records, newest first.

    Attributes:
        before: The position of the next page, None when the search ended.
    """

    records: tuple[AuditRecord, ...] = field(factory=tuple)
    before: str | None = None
