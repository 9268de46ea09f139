"""Talk to the platform's object API and its list of VMs."""

from wagtailbay.store.client import MALFORMED, HttpObjectStore, failed_write
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
    "MALFORMED",
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
    "failed_write",
]
