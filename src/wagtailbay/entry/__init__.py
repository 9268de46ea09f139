"""Request path of the entry VMs: validation, authorization, limits and forwarding."""

from wagtailbay.entry.handler import RequestHandler
from wagtailbay.entry.models import RequestContext

__all__ = ["RequestContext", "RequestHandler"]
