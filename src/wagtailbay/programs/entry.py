"""Entry point of an entry VM."""

import os
import sys
from functools import partial

import trio
from result import Err, Ok

from wagtailbay.clock import unix_time_s
from wagtailbay.locate.const import ANSWER_TTL_MS, LEAVING_MARGIN_MS
from wagtailbay.logs import log_event, start_logging
from wagtailbay.membership import VmIdentity
from wagtailbay.membership.credentials import CertificateSource
from wagtailbay.membership.settings import certificate_source
from wagtailbay.once.const import OUTCOME_DRAIN_TIMEOUT_S
from wagtailbay.programs.entry_node import PROGRAM, EntryNode, EntryNodeBuilder
from wagtailbay.programs.entry_settings import EntrySettings
from wagtailbay.programs.mechanisms import GRACEFUL_STOPS
from wagtailbay.programs.stop_signals import watch_stop_signals
from wagtailbay.settings import exit_with_errors, load_settings_or_exit
from wagtailbay.settings.checks import split_address
from wagtailbay.transport import HttpServer


def build_identity(settings: EntrySettings) -> VmIdentity:
    """Build the identity of this VM; its incarnation is the start time of the process."""
    return VmIdentity(
        settings.vm,
        round(unix_time_s() * 1000),
        settings.listen_address,
        settings.peer_listen_address,
        settings.availability_zone,
    )


async def run(settings: EntrySettings, certificates: CertificateSource | None = None) -> None:
    """Serve callers until SIGTERM or SIGINT, then shut down gracefully."""
    node = EntryNodeBuilder(settings, build_identity(settings), certificates).build()
    async with trio.open_nursery() as nursery:
        await node.run_tasks(nursery)
        await nursery.start(node.fleet.run, settings.peer_listen_address)
        if settings.metrics_address:
            metrics_server = HttpServer(node.exporter.handle)
            await nursery.start(metrics_server.serve, split_address(settings.metrics_address))
        bound_address = await nursery.start(
            node.server.serve, split_address(settings.listen_address)
        )
        log_event("listening", address=f"{bound_address[0]}:{bound_address[1]}")
        stop_asked = trio.Event()
        await nursery.start(watch_stop_signals, stop_asked)
        async with trio.open_nursery() as announcement_nursery:
            announcement_nursery.start_soon(node.fleet.become_live)
            await stop_asked.wait()
            announcement_nursery.cancel_scope.cancel()
        if GRACEFUL_STOPS not in settings.without:
            await shut_down_gracefully(node)
        nursery.cancel_scope.cancel()


async def shut_down_gracefully(node: EntryNode) -> None:
    """Announce the departure, serve callers until cached locate responses expire, then drain."""
    with trio.move_on_after((ANSWER_TTL_MS + LEAVING_MARGIN_MS) / 1000):
        await node.fleet.announce_leaving()
        await trio.sleep_forever()
    node.server.draining.set()
    # A request accepted while this VM announces that it has left would be cut off by the exit.
    node.server.stop_accepting()
    await node.server.drain()
    if not await node.outcome_writer.drain(OUTCOME_DRAIN_TIMEOUT_S):
        log_event("outcomes_lost", count=len(node.outcome_writer.pending))
    await node.fleet.announce_left()
    await node.pool.close()


def main() -> None:
    """Load the settings and run the entry VM."""
    # gRPC would otherwise mix lines of its own format into the structured log.
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")
    settings = load_settings_or_exit(PROGRAM, EntrySettings, os.environ)
    match certificate_source(settings):
        case Ok(certificates):
            start_logging(sys.stderr, PROGRAM, settings.vm)
            trio.run(partial(run, settings, certificates))
        case Err(errors):
            exit_with_errors(PROGRAM, errors)


if __name__ == "__main__":
    main()
