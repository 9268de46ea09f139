"""Report the state of an entry VM."""

from wagtailbay.status.build import ConfigStatus, build_status
from wagtailbay.status.models import StatusSource

__all__ = ["ConfigStatus", "StatusSource", "build_status"]
