"""Records and pages of the audit trail."""

from attrs import field, frozen


@frozen
class AuditRecord:
    """Describes a change or a rejected attempt to make one.

    Attributes:
        record_id: A random id, which also ends the object's key.
        when_unix_s: When the outcome was determined.
        who: The operator, or the VM or program that acted on its own.
        action: The name of the change, for example ``document.submit``.
        subject: The key of the changed object; contains no secrets.
        from_version: The version before, 0 if the object did not exist, None if it is unknown.
        to_version: The version after, None if nothing changed.
        why: The reason that was given for the change.
        outcome: ``accepted``, ``refused`` or ``unknown``.
        detail: The error of a change that was not accepted.
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
    """Represents a page of records, newest first.

    Attributes:
        before: The position at which the next page starts, None on the last page.
    """

    records: tuple[AuditRecord, ...] = field(factory=tuple)
    before: str | None = None
