"""Process of a gateway VM: settings, servers and the graceful stop."""

import os
import signal
import sys
from functools import partial

import trio

from wagtailbay.logs import LineQueue, log_event, start_queued_logging
from wagtailbay.programs.gateway_builder import GatewayBuilder
from wagtailbay.programs.gateway_node import (
    PROGRAM,
    GatewayNode,
    build_endpoints,
    lookup_ttl_ms,
)
from wagtailbay.programs.gateway_settings import GatewaySettings
from wagtailbay.programs.stop_signals import watch_stop_signals
from wagtailbay.settings import load_settings_or_exit
from wagtailbay.settings.checks import split_address
from wagtailbay.transport import HttpServer

# New connections are accepted for this long after cached lookup responses with this VM expire.
LOOKUP_EXPIRY_MARGIN_S = 0.8
# The process exits this long before the end of the grace time, when it would be killed.
SHUTDOWN_MARGIN_S = 0.3


async def run(settings: GatewaySettings, log_queue: LineQueue) -> None:
    """Serve callers until SIGTERM or SIGINT, then shut down gracefully."""
    node = GatewayBuilder(settings).build()
    lookup_endpoint, readiness_endpoint = build_endpoints(node)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log_queue.run)
        nursery.start_soon(log_reload_requests)
        await node.run_tasks(nursery)
        await nursery.start(node.fleet.run, settings.peer_address)
        await nursery.start(
            HttpServer(readiness_endpoint.handle).serve, split_address(settings.ready_address)
        )
        await nursery.start(
            HttpServer(lookup_endpoint.handle).serve, split_address(settings.lookup_address)
        )
        if settings.metrics_address:
            metrics_server = HttpServer(node.exporter.handle)
            await nursery.start(metrics_server.serve, split_address(settings.metrics_address))
        stop_asked = trio.Event()
        await nursery.start(watch_stop_signals, stop_asked)
        await nursery.start(node.server.serve, split_address(settings.listen_address))
        log_event("listening", address=settings.listen_address, machine=settings.machine)
        async with trio.open_nursery() as announcement_nursery:
            announcement_nursery.start_soon(node.become_live)
            await stop_asked.wait()
            announcement_nursery.cancel_scope.cancel()
        await shut_down_gracefully(node)
        nursery.cancel_scope.cancel()


async def log_reload_requests() -> None:
    """Log and ignore SIGHUP; changed settings take effect at the next start only."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            log_event("reload_asked", changed="nothing")


async def shut_down_gracefully(node: GatewayNode) -> None:
    """Announce the departure, serve callers until lookups expire, and drain in the grace time."""
    started_s = trio.current_time()
    log_event("stopping", open_requests=node.server.open_requests)
    await node.fleet.announce_leaving()
    # From now on, each response closes its connection so that the caller reconnects elsewhere.
    node.server.draining.set()
    await trio.sleep(lookup_ttl_ms(node.settings.requirements) / 1000 + LOOKUP_EXPIRY_MARGIN_S)
    node.server.stop_accepting()
    # A request that is complete only now could be cut by the end of the grace time.
    node.handler.forwarder.stops_sending_s = node.handler.clock()
    deadline_s = started_s + node.settings.grace_ms / 1000 - SHUTDOWN_MARGIN_S
    with trio.move_on_at(deadline_s):
        await node.server.drain()
        await node.fleet.announce_left()
    log_event("stopped", open_requests=node.server.open_requests)


def run_process() -> None:
    """Load the settings and run the gateway VM."""
    # gRPC would otherwise mix lines of its own format into the structured log.
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")
    settings = load_settings_or_exit(PROGRAM, GatewaySettings, os.environ)
    stdout = sys.stdout.fileno()
    log_queue = start_queued_logging(partial(os.write, stdout), PROGRAM, settings.vm)
    trio.run(run, settings, log_queue)
    os.write(stdout, log_queue.drain())
