"""Run one entry VM."""

import os
import signal
import sys
from functools import partial

import trio
from attrs import frozen
from result import Err, Ok

from wagtailbay.access import AccessGate, KeyRing
from wagtailbay.allotment import EqualShares
from wagtailbay.clock import boottime_s, unix_time_s
from wagtailbay.config import ConfigView, build_view
from wagtailbay.entry import RequestHandler
from wagtailbay.entry.forward import Forwarder
from wagtailbay.limits import WorkspaceLimiter
from wagtailbay.locate.const import ANSWER_TTL_MS, LEAVING_MARGIN_MS
from wagtailbay.logs import log_event, start_logging
from wagtailbay.membership import VmIdentity
from wagtailbay.membership.credentials import CertificateSource
from wagtailbay.membership.settings import PeerSettings, certificate_source
from wagtailbay.platform import HttpObjectStore
from wagtailbay.programs.fleet import Fleet, build_fleet
from wagtailbay.settings import exit_with_faults, load_settings_or_exit, setting
from wagtailbay.settings.checks import at_least, parse_address, split_address
from wagtailbay.shift import AnyVersionPicker
from wagtailbay.steer import RoundRobinChooser
from wagtailbay.transport import ConnectionPool, HttpServer

PROGRAM = "wagtailbay-entry"


@frozen
class EntrySettings(PeerSettings):
    """Serve callers on one entry VM."""

    vm: str = setting(help_text="name of this VM")
    availability_zone: str = setting(help_text="availability zone of this VM")
    listen_address: str = setting(help_text="where callers connect", parse=parse_address)
    platform_address: str = setting(help_text="address of the object API", parse=parse_address)
    store_timeout_ms: int = setting(
        help_text="longest wait for the object API", default=2_000, parse=int, check=at_least(1)
    )


def own_identity(settings: EntrySettings) -> VmIdentity:
    """Return the identity of this run of the process."""
    return VmIdentity(
        settings.vm,
        round(unix_time_s() * 1000),
        settings.listen_address,
        settings.peer_listen_address,
        settings.availability_zone,
    )


async def run(settings: EntrySettings, certificates: CertificateSource | None = None) -> None:
    """Run until SIGTERM or SIGINT has been served by a graceful shutdown."""
    store = HttpObjectStore(settings.platform_address, settings.store_timeout_ms)
    view = [ConfigView()]
    fleet = build_fleet(
        settings, own_identity(settings), store, certificates, lambda: view[0].fleet, boottime_s
    )
    replica = fleet.replica
    chooser = RoundRobinChooser()
    pool = ConnectionPool()
    forwarder = Forwarder(chooser, AnyVersionPicker(), pool, boottime_s, settings.vm)
    shares = EqualShares(lambda: view[0].fleet.max_vms if view[0].fleet else 1)
    handler = RequestHandler(
        view=lambda: view[0],
        gate=AccessGate(
            KeyRing(lambda: replica.objects), fleet.freshness.age_ms, fleet.quorum.has_quorum
        ),
        limiter=WorkspaceLimiter(shares, boottime_s()),
        forwarder=forwarder,
        roster=fleet.roster,
        status=fleet.status,
        clock=boottime_s,
    )
    server = HttpServer(handler.handle)

    async def follow_config() -> None:
        while True:
            view[0] = build_view(view[0], replica.objects)
            chooser.fleet = view[0].fleet
            await replica.changed.wait()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(follow_config)
        await nursery.start(fleet.run, settings.peer_listen_address)
        bound = await nursery.start(server.serve, split_address(settings.listen_address))
        log_event("listening", address=f"{bound[0]}:{bound[1]}")
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as until_signal:
                until_signal.start_soon(fleet.become_live)
                await anext(signals)
                until_signal.cancel_scope.cancel()
        await stop_gracefully(fleet, server)
        await pool.close()
        nursery.cancel_scope.cancel()


async def stop_gracefully(fleet: Fleet, server: HttpServer) -> None:
    """Leave the locate answers, serve what they still send, then end all connections."""
    with trio.move_on_after((ANSWER_TTL_MS + LEAVING_MARGIN_MS) / 1000):
        await fleet.announce_leaving()
        await trio.sleep_forever()
    server.draining.set()
    while server.open_requests:
        await trio.sleep(0.05)
    server.close_idle()
    await fleet.announce_left()


def main() -> None:
    """Run the program."""
    # gRPC would write its own lines, which have another form, between this program's.
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")
    settings = load_settings_or_exit(PROGRAM, EntrySettings, os.environ)
    match certificate_source(settings):
        case Ok(certificates):
            start_logging(sys.stderr, PROGRAM, settings.vm)
            trio.run(partial(run, settings, certificates))
        case Err(faults):
            exit_with_faults(PROGRAM, faults)


if __name__ == "__main__":
    main()
