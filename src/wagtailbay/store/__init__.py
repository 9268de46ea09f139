"""Talk to the platform's object API and its list of VMs."""

from wagtailbay.store.client import HttpObjectStore
from wagtailbay.store.counted import CountedObjectStore
from wagtailbay.store.models import (
    HistoryLost,
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
    "HistoryLost",
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
