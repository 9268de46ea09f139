"""Serve callers: check, limit, choose, forward and answer each request."""

from wagtailbay.entry.handler import RequestHandler
from wagtailbay.entry.models import RequestContext

__all__ = ["RequestContext", "RequestHandler"]
