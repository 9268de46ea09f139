"""Run one entry VM."""

import os
import random
import signal
import sys
from functools import partial

import trio
from attrs import frozen

from wagtailbay.access import AccessGate, KeyRing
from wagtailbay.allotment import EqualShares
from wagtailbay.clock import boottime_s, unix_time_s
from wagtailbay.config import ConfigView, build_view
from wagtailbay.entry import RequestHandler
from wagtailbay.entry.forward import Forwarder
from wagtailbay.limits import WorkspaceLimiter
from wagtailbay.locate.const import ANSWER_TTL_MS, LEAVING_MARGIN_MS
from wagtailbay.logs import log_event, start_logging
from wagtailbay.membership import Roster, VmIdentity, VmState
from wagtailbay.platform import HttpObjectStore
from wagtailbay.replica import Freshness, Replica, StoreReader
from wagtailbay.settings import load_settings_or_exit, setting
from wagtailbay.settings.checks import at_least, parse_address, split_address
from wagtailbay.shift import AnyVersionPicker
from wagtailbay.steer import RoundRobinChooser
from wagtailbay.transport import ConnectionPool, HttpServer

PROGRAM = "wagtailbay-entry"


@frozen
class EntrySettings:
    """Serve callers on one entry VM."""

    vm: str = setting(help_text="name of this VM")
    availability_zone: str = setting(help_text="availability zone of this VM")
    listen_address: str = setting(help_text="where callers connect", parse=parse_address)
    platform_address: str = setting(help_text="address of the object API", parse=parse_address)
    store_timeout_ms: int = setting(
        help_text="longest wait for the object API", default=2_000, parse=int, check=at_least(1)
    )


async def run(settings: EntrySettings) -> None:
    """Run until SIGTERM or SIGINT has been served by a graceful shutdown."""
    identity = VmIdentity(
        settings.vm,
        round(unix_time_s() * 1000),
        settings.listen_address,
        "",
        settings.availability_zone,
    )
    roster = Roster(identity)
    replica, freshness = Replica(), Freshness()
    store = HttpObjectStore(settings.platform_address, settings.store_timeout_ms)
    reader = StoreReader(store, replica, freshness, lambda: True, boottime_s, random.Random())
    view = [ConfigView()]
    chooser = RoundRobinChooser()
    pool = ConnectionPool()
    forwarder = Forwarder(chooser, AnyVersionPicker(), pool, boottime_s, settings.vm)
    shares = EqualShares(
        lambda: view[0].fleet.max_vms if view[0].fleet else 1, started_s=boottime_s()
    )
    handler = RequestHandler(
        view=lambda: view[0],
        gate=AccessGate(KeyRing(lambda: replica.objects), freshness.age_ms, lambda now_s: False),
        limiter=WorkspaceLimiter(shares, boottime_s),
        forwarder=forwarder,
        roster=roster,
        status=lambda now_s: {"vm": settings.vm, "revision": replica.revision},
        clock=boottime_s,
    )
    server = HttpServer(handler.handle)

    async def follow_config() -> None:
        while True:
            view[0] = build_view(view[0], replica.objects)
            chooser.fleet = view[0].fleet
            await replica.changed.wait()

    async def announce_when_ready() -> None:
        while view[0].fleet is None:
            await replica.changed.wait()
            await trio.lowlevel.checkpoint()
        roster.announce(VmState.LIVE)
        log_event("ready", revision=replica.revision)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(reader.run)
        nursery.start_soon(follow_config)
        bound = await nursery.start(server.serve, split_address(settings.listen_address))
        log_event("listening", address=f"{bound[0]}:{bound[1]}")
        nursery.start_soon(announce_when_ready)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await anext(signals)
        await stop_gracefully(roster, server)
        await pool.close()
        nursery.cancel_scope.cancel()


async def stop_gracefully(roster: Roster, server: HttpServer) -> None:
    """Leave the locate answers, serve what they still send, then end all connections."""
    roster.announce(VmState.LEAVING)
    log_event("leaving")
    await trio.sleep((ANSWER_TTL_MS + LEAVING_MARGIN_MS) / 1000)
    server.draining.set()
    while server.open_requests:
        await trio.sleep(0.05)
    server.close_idle()
    roster.announce(VmState.LEFT)
    log_event("left")


def main() -> None:
    """Run the program."""
    settings = load_settings_or_exit(PROGRAM, EntrySettings, os.environ)
    start_logging(sys.stderr, PROGRAM, settings.vm)
    trio.run(partial(run, settings))


if __name__ == "__main__":
    main()
