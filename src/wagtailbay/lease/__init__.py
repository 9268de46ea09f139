"""Choose the VM that performs the control duties."""

from wagtailbay.lease.manager import LeaseManager
from wagtailbay.lease.models import LeaseRecord

__all__ = ["LeaseManager", "LeaseRecord"]
