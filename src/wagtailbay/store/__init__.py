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
    WatchError,
    WatchInterrupted,
)
from wagtailbay.store.position import MAX_ERA, MAX_REVISION, StorePosition

__all__ = [
    "MAX_ERA",
    "MAX_REVISION",
    "HistoryLost",
    "HttpObjectStore",
    "Listing",
    "MeteredObjectStore",
    "ObjectStore",
    "OutcomeUnknown",
    "StoreError",
    "StorePosition",
    "StoreUnavailable",
    "StoredObject",
    "VersionConflict",
    "VmList",
    "VmRecord",
    "WatchError",
    "WatchInterrupted",
    "classify_write_failure",
]
