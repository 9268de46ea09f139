"""Measure the CPU time of VM look-ups over HTTP; see docs/CAPACITY.md.

``python -m wagtailbay_bench.lookups [--count N]`` starts a process with the server, the handler
and the ranker of an entry VM, fills its roster with simulated VMs, and sends it requests for
``/-/locate``.
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
from wagtailbay_bench.rest import ProcessUsage, read_usage

ZONES = 10
# CPU time per look-up that uses a quarter of a core at 865 look-ups per second.
CPU_BUDGET_US = 289.0
WARM_UP_LOOKUPS = 500


def build_node(vm_count: int, address: str) -> EntryNode:
    """Build the entry VM of a fleet of the given size without starting it."""
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
            fleet = FleetDocument(vm_count, zones, client_blocks=blocks)
            config = ActiveConfig(ConfigView(fleet))
            return EntryNodeBuilder(settings, build_identity(settings), None, config).build()
        case error:
            sys.exit(f"lookups: {error.err_value}")


async def serve(vm_count: int, address: str) -> None:
    """Answer look-ups until the process ends, refreshing the simulated VMs once a second."""
    node = build_node(vm_count, address)
    roster = node.fleet.roster
    roster.announce(VmState.LIVE)
    await node.ranker.map_blocks(node.config.view.fleet)
    async with trio.open_nursery() as nursery:
        await nursery.start(node.server.serve, split_address(address))
        log_event("listening", address=address)
        while True:
            for number in range(1, vm_count):
                address = f"10.255.{number // 250}.{number % 250}:8080"
                identity = VmIdentity(f"vm-{number}", 1, address, "", f"z{number % ZONES}")
                roster.record_message(Member(identity, VmState.LIVE, 2), boottime_s())
            await trio.sleep(1.0)


def send_lookup(connection: socket.socket, number: int) -> int:
    """Send one look-up on a connection and return the size of the response in bytes."""
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


def send_lookups(address: tuple[str, int], count: int, reuse_connection: bool) -> int:
    """Send look-ups on one persistent connection or on a new one each.

    Returns:
        The size of the last response in bytes.
    """
    response_bytes = 0
    connection = socket.create_connection(address)
    for number in range(count):
        if not reuse_connection and number:
            connection.close()
            connection = socket.create_connection(address)
        response_bytes = send_lookup(connection, number)
    connection.close()
    return response_bytes


async def measure(count: int) -> None:
    """Print the CPU time per look-up for two fleet sizes, with and without reused connections."""
    for vm_count in (11, 520):
        with ProcessGroup() as group:
            address = free_address("127.0.0.4")
            process = group.start(
                f"vms-{vm_count}",
                "wagtailbay_bench.lookups",
                [f"--serve={vm_count}", f"--address={address}"],
            )
            await process.wait_for_event("listening")
            for reuse_connection in (True, False):
                send_lookups(split_address(address), WARM_UP_LOOKUPS, reuse_connection)
                before = read_usage(process.process.pid)
                response_bytes = send_lookups(split_address(address), count, reuse_connection)
                print_result(
                    vm_count,
                    reuse_connection,
                    count,
                    response_bytes,
                    before,
                    read_usage(process.process.pid),
                )


def print_result(
    vm_count: int,
    reuse_connection: bool,
    count: int,
    response_bytes: int,
    before: ProcessUsage,
    after: ProcessUsage,
) -> None:
    """Print the CPU time per look-up and the memory of the server process."""
    cpu_s = after.loop_s + after.other_s - before.loop_s - before.other_s
    cpu_us = cpu_s / count * 1e6
    print(
        f"lookups vms={vm_count} connections={'kept' if reuse_connection else 'one_each'}"
        f" count={count} answer_bytes={response_bytes} us={cpu_us:.0f}"
        f" factor_of_goal={cpu_us / CPU_BUDGET_US:.2f}"
        f" resident_mb={after.resident_bytes / 1e6:.1f}"
    )


def main() -> None:
    """Run the measurement, or the server process that it starts."""
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
