"""Audit trail of configuration changes: who changed what, when and why."""

from wagtailbay.audit.models import AuditPage, AuditRecord
from wagtailbay.audit.reader import AuditReader
from wagtailbay.audit.retention import AuditSweeper
from wagtailbay.audit.writer import AuditWriter

__all__ = ["AuditPage", "AuditReader", "AuditRecord", "AuditSweeper", "AuditWriter"]
