"""Access to the platform's object API and its list of VMs."""

from wagtailbay.store.client import HttpObjectStore, classify_write_failure
from wagtailbay.store.metered import MeteredObjectStore
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
    "HistoryLost",
    "HttpObjectStore",
    "Listing",
    "MeteredObjectStore",
    "ObjectStore",
    "OutcomeUnknown",
    "StoreError",
    "StoreUnavailable",
    "StoredObject",
    "VersionConflict",
    "VmList",
    "VmRecord",
    "classify_write_failure",
]
