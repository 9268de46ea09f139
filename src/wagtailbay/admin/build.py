"""Assembly of the administration API."""

from collections.abc import Callable, Mapping

from wagtailbay.admin.auditing import Auditor
from wagtailbay.admin.const import DEFAULT_STATUS_TIMEOUT_MS, DEFAULT_WITHDRAWAL_WAIT_MS
from wagtailbay.admin.documents import DocumentOperations
from wagtailbay.admin.fleet import FleetReader
from wagtailbay.admin.handler import AdminHandler
from wagtailbay.admin.keys import KeyOperations
from wagtailbay.admin.overview import Overview
from wagtailbay.admin.tokens import TokenAuthenticator
from wagtailbay.audit import AuditWriter
from wagtailbay.store import ObjectStore


def build_handler(
    store: ObjectStore,
    writer: AuditWriter,
    token_digests: Mapping[str, str],
    entry_addresses: Mapping[str, str],
    clock: Callable[[], float],
    unix_clock: Callable[[], float],
    status_timeout_ms: int = DEFAULT_STATUS_TIMEOUT_MS,
    withdrawal_wait_ms: int = DEFAULT_WITHDRAWAL_WAIT_MS,
) -> AdminHandler:
    """Build the handler that serves all requests of the administration API from one store."""
    auditor = Auditor(writer, unix_clock)
    fleet = FleetReader(store, entry_addresses, status_timeout_ms)
    return AdminHandler(
        tokens=TokenAuthenticator(token_digests),
        documents=DocumentOperations(store, auditor, fleet),
        keys=KeyOperations(store, auditor, fleet, withdrawal_wait_ms, clock),
        fleet=fleet,
        overview=Overview(store, fleet, writer, unix_clock),
        auditor=auditor,
    )
