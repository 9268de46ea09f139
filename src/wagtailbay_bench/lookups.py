"""Measure the processor time of look-ups over HTTP; see docs/CAPACITY.md.

``python -m wagtailbay_bench.lookups [--count N]`` starts a process with an entry VM's server, its
handler and ranker, fills its roster with VMs that do not exist, and asks it ``/-/locate``.
"""

import argparse
import socket
import sys

import trio
from result import Ok

from wagtailbay.clock import boottime_s
from wagtailbay.config import AvailabilityZone, ClientBlock, ConfigView, FleetDocument
from wagtailbay.logs import log_event, start_logging
from wagtailbay.membership import Member, VmIdentity, VmState
from wagtailbay.programs.entry import build_identity
from wagtailbay.programs.entry_node import ActiveConfig, EntryNode, EntryNodeBuilder
from wagtailbay.programs.entry_settings import EntrySettings
from wagtailbay.settings import load_settings
from wagtailbay.settings.checks import split_address
from wagtailbay_bench.processes import ProcessGroup, free_address
from wagtailbay_bench.rest import ProcessUse, read_use

ZONES = 10
# A quarter of a core at 865 look-ups a second.
GOAL_US = 289.0
WARM_UP = 500


def build_node(vms: int, address: str) -> EntryNode:
    """Build an entry VM of a fleet of the given size; starts nothing."""
    arguments = [
        "--vm=vm-0",
        "--availability-zone=z0",
        f"--listen-address={address}",
        "--platform-address=127.0.0.1:1",
    ]
    match load_settings("lookups", EntrySettings, arguments, {}):
        case Ok(settings):
            zones = tuple(AvailabilityZone(f"z{n}", f"r{n // 2}") for n in range(ZONES))
            blocks = tuple(ClientBlock(f"10.{n}.0.0/16", f"z{n % ZONES}") for n in range(250))
            fleet = FleetDocument(vms, zones, client_blocks=blocks)
            config = ActiveConfig(ConfigView(fleet))
            return EntryNodeBuilder(settings, build_identity(settings), None, config).build()
        case faults:
            sys.exit(f"lookups: {faults.err_value}")


async def serve(vms: int, address: str) -> None:
    """Answer look-ups until the process is ended."""
    node = build_node(vms, address)
    roster = node.fleet.roster
    roster.announce(VmState.LIVE)
    await node.ranker.map_blocks(node.config.view.fleet)
    async with trio.open_nursery() as nursery:
        await nursery.start(node.server.serve, split_address(address))
        log_event("listening", address=address)
        while True:
            for number in range(1, vms):
                address = f"10.255.{number // 250}.{number % 250}:8080"
                identity = VmIdentity(f"vm-{number}", 1, address, "", f"z{number % ZONES}")
                roster.record_message(Member(identity, VmState.LIVE, 2), boottime_s())
            await trio.sleep(1.0)


def ask(connection: socket.socket, number: int) -> int:
    """Carry out one look-up on a connection; returns the bytes of the answer."""
    client = f"10.{number % 250}.{number // 250 % 250}.7"
    request = f"GET /-/locate?client={client} HTTP/1.1\r\nHost: a\r\n\r\n"
    connection.sendall(request.encode())
    data = b""
    while b"\r\n\r\n" not in data:
        data += connection.recv(65_536)
    head, _, body = data.partition(b"\r\n\r\n")
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    while len(body) < int(fields[b"content-length"]):
        body += connection.recv(65_536)
    if not head.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(head.decode())
    return len(head) + 4 + len(body)


def ask_many(address: tuple[str, int], count: int, kept: bool) -> int:
    """Carry out look-ups on one kept connection or on one each; returns the last answer's bytes."""
    size = 0
    connection = socket.create_connection(address)
    for number in range(count):
        if not kept and number:
            connection.close()
            connection = socket.create_connection(address)
        size = ask(connection, number)
    connection.close()
    return size


async def measure(count: int) -> None:
    """Print the processor time of a look-up for two sizes of the fleet."""
    for vms in (11, 520):
        with ProcessGroup() as group:
            address = free_address("127.0.0.4")
            process = group.start(
                f"vms-{vms}", "wagtailbay_bench.lookups", [f"--serve={vms}", f"--address={address}"]
            )
            await process.wait_for_event("listening")
            for kept in (True, False):
                ask_many(split_address(address), WARM_UP, kept)
                before = read_use(process.process.pid)
                size = ask_many(split_address(address), count, kept)
                report(vms, kept, count, size, before, read_use(process.process.pid))


def report(
    vms: int, kept: bool, count: int, size: int, before: ProcessUse, after: ProcessUse
) -> None:
    """Print one line."""
    used_s = after.loop_s + after.other_s - before.loop_s - before.other_s
    each_us = used_s / count * 1e6
    print(
        f"lookups vms={vms} connections={'kept' if kept else 'one_each'} count={count}"
        f" answer_bytes={size} us={each_us:.0f} factor_of_goal={each_us / GOAL_US:.2f}"
        f" resident_mb={after.resident_bytes / 1e6:.1f}"
    )


def main() -> None:
    """Measure, or serve for the measurement."""
    parser = argparse.ArgumentParser(prog="wagtailbay_bench.lookups", description=__doc__)
    parser.add_argument("--count", type=int, default=5_000)
    parser.add_argument("--serve", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--address", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.serve:
        start_logging(sys.stderr, "lookups")
        trio.run(serve, arguments.serve, arguments.address)
    else:
        trio.run(measure, arguments.count)


if __name__ == "__main__":
    main()
