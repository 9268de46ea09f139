"""Entry point of the administration server."""

import os
import sys
from functools import partial

import trio
from attrs import frozen

from wagtailbay.admin import build_handler, parse_token_digests
from wagtailbay.audit import AuditSweeper, AuditWriter
from wagtailbay.audit.const import DEFAULT_RETENTION_DAYS
from wagtailbay.clock import boottime_s, unix_time_s
from wagtailbay.logs import log_event, start_logging
from wagtailbay.metrics import build_exporter
from wagtailbay.programs.stop_signals import watch_stop_signals
from wagtailbay.settings import load_settings_or_exit, setting
from wagtailbay.settings.checks import (
    at_least,
    parse_address,
    parse_named_addresses,
    parse_optional_address,
    split_address,
)
from wagtailbay.store import HttpObjectStore
from wagtailbay.transport import HttpServer

PROGRAM = "wagtailbay-admin"


@frozen
class AdminSettings:
    """Serve the administration API: documents, keys, moves, fleet, audit and status."""

    listen_address: str = setting(
        help_text="address to listen on for operators", parse=parse_address
    )
    platform_address: str = setting(help_text="address of the object API", parse=parse_address)
    admin_tokens: dict[str, str] = setting(
        help_text="operator=<SHA-256 of the admin token>, separated by commas",
        parse=parse_token_digests,
    )
    entry_addresses: dict[str, str] = setting(
        help_text="vm=<address>, separated by commas, for VMs missing from the platform's VM list",
        default={},
        parse=parse_named_addresses,
    )
    store_timeout_ms: int = setting(
        help_text="timeout of calls to the object API in ms",
        default=2_000,
        parse=int,
        check=at_least(1),
    )
    status_timeout_ms: int = setting(
        help_text="timeout of status requests to entry VMs in ms",
        default=1_000,
        parse=int,
        check=at_least(1),
    )
    withdrawal_wait_ms: int = setting(
        help_text="longest time in ms that a key withdrawal waits for confirmation by a quorum",
        default=3_000,
        parse=int,
        check=at_least(0),
    )
    audit_retention_days: int = setting(
        help_text="days after which audit records are deleted; 0 keeps them all",
        default=DEFAULT_RETENTION_DAYS,
        parse=int,
        check=at_least(0),
    )
    metrics_address: str = setting(
        help_text="address to serve Prometheus metrics on at /metrics; empty disables them",
        default="",
        parse=parse_optional_address,
    )


async def run(settings: AdminSettings) -> None:
    """Serve until SIGTERM or SIGINT, then finish open requests and write pending audit records."""
    store = HttpObjectStore(settings.platform_address, settings.store_timeout_ms)
    exporter = build_exporter(PROGRAM)
    audit_writer = AuditWriter(store, exporter.metrics.record_lost_audit_record)
    sweeper = AuditSweeper(store, audit_writer, settings.audit_retention_days, unix_time_s)
    handler = build_handler(
        store,
        audit_writer,
        settings.admin_tokens,
        settings.entry_addresses,
        boottime_s,
        unix_time_s,
        settings.status_timeout_ms,
        settings.withdrawal_wait_ms,
    )
    server = HttpServer(handler.handle)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(audit_writer.run)
        nursery.start_soon(sweeper.run)
        if settings.metrics_address:
            metrics_server = HttpServer(exporter.handle)
            await nursery.start(metrics_server.serve, split_address(settings.metrics_address))
        bound_address = await nursery.start(server.serve, split_address(settings.listen_address))
        log_event("listening", address=f"{bound_address[0]}:{bound_address[1]}")
        stop_asked = trio.Event()
        await nursery.start(watch_stop_signals, stop_asked)
        await stop_asked.wait()
        server.draining.set()
        while server.open_requests:
            await trio.sleep(0.05)
        await audit_writer.flush()
        log_event("stopped")
        nursery.cancel_scope.cancel()


def main() -> None:
    """Load the settings and run the administration server."""
    settings = load_settings_or_exit(PROGRAM, AdminSettings, os.environ)
    start_logging(sys.stderr, PROGRAM)
    trio.run(partial(run, settings))


if __name__ == "__main__":
    main()
