"""Administration API: documents, API keys, moves, VMs, the audit trail and status."""

from wagtailbay.admin.build import build_handler
from wagtailbay.admin.handler import AdminHandler
from wagtailbay.admin.tokens import parse_token_digests

__all__ = ["AdminHandler", "build_handler", "parse_token_digests"]
