"""Measure the cost of logging by timing requests alternately without and with the log."""

import statistics
import sys
import time

import trio
from eliot import remove_destination

from wagtailbay.logs import LineQueue
from wagtailbay.logs.events import add_line_destination
from wagtailbay.programs.gateway_builder import GatewayBuilder
from wagtailbay.programs.gateway_settings import GatewaySettings
from wagtailbay.replica import to_value
from wagtailbay.routing import (
    CallerLimits,
    RoutePart,
    RouteRule,
    RoutingTable,
    ServiceRule,
    Workspace,
)
from wagtailbay.store import StoredObject
from wagtailbay.transport import HttpServer, Request
from wagtailbay_bench.caller_pool import CallerPool

REQUESTS = 1_000
ROUNDS = 7
ROUTING_TABLE = RoutingTable(
    1,
    (RouteRule("r", "h.example", "/", True, 1_000.0, 300.0, 1, (RoutePart("records"),), 2),),
    (ServiceRule("records", "/health", 100, 3_000.0, 6.0),),
    (Workspace("unam", frozenset({"key-1"}), rate_per_s=1e9, burst=1e9),),
    CallerLimits(16_384, 1_000_000, 3_000.0, 15_000.0),
)


async def time_requests(address: str, pool: CallerPool) -> float:
    """Return the mean time in us of a request that is refused because no target exists."""
    fields = (("Request-Id", "id-1"), ("Authorization", "Token key-1"))
    request = Request("GET", "/x", fields, host="h.example")
    started_s = time.perf_counter()
    for _ in range(REQUESTS):
        (await pool.fetch(address, request, 5_000)).unwrap()
    return (time.perf_counter() - started_s) / REQUESTS * 1e6


async def measure(stall_writer: bool) -> tuple[float, float]:
    """Return the median request time in us without and with the log.

    Args:
        stall_writer: Whether writes block as with a stalled log reader, so that all lines are
            dropped.
    """
    settings = GatewaySettings(
        vm="vm-1",
        availability_zone="z1",
        zones={"z1": "north"},
        listen_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        lookup_address="127.0.0.1:0",
        peer_address="127.0.0.1:1",
        platform_address="127.0.0.1:1",
    )
    gateway = GatewayBuilder(settings).build()
    gateway.routing.apply(
        {"routing/main": StoredObject("routing/main", 1, to_value(ROUTING_TABLE))}, 0, 0.0, 0.0
    )
    times_without_log, times_with_log = [], []
    release_writer = trio.Event()

    def write(data: bytes) -> None:
        if stall_writer:
            trio.from_thread.run(release_writer.wait)

    async with trio.open_nursery() as nursery:
        host, port = await nursery.start(HttpServer(gateway.handler.handle).serve, ("127.0.0.1", 0))
        pool = CallerPool()
        queue = LineQueue(write, lambda event, count: None)
        nursery.start_soon(queue.run)
        for _ in range(ROUNDS):
            times_without_log.append(await time_requests(f"{host}:{port}", pool))
            destination = add_line_destination(queue.add, "log-cost", "vm-1", numbered=True)
            times_with_log.append(await time_requests(f"{host}:{port}", pool))
            remove_destination(destination)
        release_writer.set()
        nursery.cancel_scope.cancel()
    return statistics.median(times_without_log), statistics.median(times_with_log)


def main() -> None:
    """Print the request times for a log reader that keeps up and for a stalled one."""
    for stall_writer in (False, True):
        plain_us, logged_us = trio.run(measure, stall_writer)
        reader = "stalled reader" if stall_writer else "reader keeps up"
        print(f"{reader}: without log {plain_us:.0f} us, with log {logged_us:.0f} us a request")


if __name__ == "__main__":
    sys.exit(main())
