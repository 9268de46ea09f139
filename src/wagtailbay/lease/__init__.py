"""Choose the VM that performs the control duties."""

from wagtailbay.lease.keeper import LeaseKeeper
from wagtailbay.lease.models import LeaseRecord

__all__ = ["LeaseKeeper", "LeaseRecord"]
