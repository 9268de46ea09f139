"""Elect the VM that runs the control-plane duties, by a lease in the store."""

from wagtailbay.lease.manager import LeaseManager
from wagtailbay.lease.models import LeaseRecord

__all__ = ["LeaseManager", "LeaseRecord"]
