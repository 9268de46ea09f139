"""Talk to the platform's object API and its list of VMs."""

from wagtailbay.platform.client import HttpObjectStore
from wagtailbay.platform.counted import CountedObjectStore
from wagtailbay.platform.models import (
    Listing,
    ObjectStore,
    OutcomeUnknown,
    StoredObject,
    StoreError,
    StoreUnavailable,
    VersionConflict,
    VmList,
    VmRecord,
)

__all__ = [
    "CountedObjectStore",
    "HttpObjectStore",
    "Listing",
    "ObjectStore",
    "OutcomeUnknown",
    "StoreError",
    "StoreUnavailable",
    "StoredObject",
    "VersionConflict",
    "VmList",
    "VmRecord",
]
