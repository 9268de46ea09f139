"""Tests of signals in series and during the start, with real processes."""

import signal
import subprocess
import sys
from random import Random

import pytest
import trio

from wagtailbay.settings.checks import split_address
from wagtailbay.transport import Request, fetch
from wagtailbay_bench.processes import ProcessGroup
from wagtailbay_bench.soak.const import CONFIG_VERSION, HOST
from wagtailbay_bench.soak.documents import RECORD_ROUTES, build_config, build_registration
from wagtailbay_bench.soak.models import History
from wagtailbay_bench.soak.target import SoakTarget
from wagtailbay_bench.soak.vms import ZONES, SoakVm
from wagtailbay_standins.objects import ObjectApiStandin

WAIT_S = 60
SIGHUP_DURING_IMPORTS = """
import os, signal, sys, types
import wagtailbay.programs.gateway as gateway

assert "trio" not in sys.modules, "the imports are done before the signal is handled"
process = types.ModuleType("wagtailbay.programs.gateway_process")
process.run_process = lambda: os.kill(os.getpid(), signal.SIGHUP) or print("alive")
sys.modules[process.__name__] = process
gateway.main()
"""


async def start_vm(nursery: trio.Nursery, group: ProcessGroup, target: SoakTarget) -> SoakVm:
    """Return a gateway process that is ready, with a store and one target."""
    api, zone = ObjectApiStandin(), next(iter(ZONES))
    api.put_spec("config", "main", build_config(CONFIG_VERSION, RECORD_ROUTES))
    store_address = await nursery.start(api.serve)
    address = await nursery.start(target.serve)
    api.put_fields("servers", target.name, build_registration(address, zone))
    vm = SoakVm("127.3.1.1", zone, group, target.history, store_address)
    vm.start(first_start=True)
    await vm.wait_ready()
    return vm


async def read_to_end(stream: trio.SocketStream) -> None:
    """Read until the peer ends the connection."""
    while await stream.receive_some(65_536):
        pass


class TestSignalsInSeries:
    """A planned stop goes on whatever signals follow."""

    async def test_second_sigterm_does_not_cut_requests(self, nursery):
        """Guards against cutting deposits in progress when SIGTERM comes twice."""
        history, responses = History(), []
        target = SoakTarget("t1", history, Random(1), refusal_share=0.0, work_range_s=(1.5, 1.5))
        with ProcessGroup() as group:
            vm = await start_vm(nursery, group, target)

            async def send_deposit(number: int) -> None:
                headers = (("Request-Id", f"id-{number}"), ("Deadline-Ms", "6000"))
                request = Request("POST", "/deposit/1", headers, b"thesis", host=HOST)
                responses.append((await fetch(vm.front, request, 10_000)).ok_value.status)

            with trio.fail_after(WAIT_S):
                async with trio.open_nursery() as requests:
                    for number in range(4):
                        requests.start_soon(send_deposit, number)
                    while len(history.runs) < 4:
                        await trio.sleep(0.01)
                    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                        vm.send_signal(number)
                        await trio.sleep(0.1)
                exit_status = await trio.to_thread.run_sync(vm.program.process.wait)
        assert responses == [200] * 4
        assert exit_status == 0


class TestKilledDuringResponse:
    """The end of a process does not look like the end of a response."""

    # Guards against issue 31: the beginning of a body without a length that looks whole.
    async def test_body_without_a_length_ends_with_a_reset(self, nursery):
        """Guards against a clean end of the caller's connection when a VM is killed."""
        target = SoakTarget("t1", History(), Random(1), refusal_share=0.0)
        target.faults, target.fault_share = ("send_endless_body",), 1.0
        with ProcessGroup() as group:
            vm = await start_vm(nursery, group, target)
            with trio.fail_after(WAIT_S):
                stream = await trio.open_tcp_stream(*split_address(vm.front))
                await stream.send_all(
                    f"GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: id-1\r\n\r\n".encode()
                )
                assert (await stream.receive_some(12)) == b"HTTP/1.1 200"
                vm.send_signal(signal.SIGKILL)
                with pytest.raises(trio.BrokenResourceError):
                    await read_to_end(stream)


class TestReloadDuringStart:
    """A reload signal does not end a process that is still starting."""

    def test_sighup_during_the_imports_is_ignored(self):
        """Guards against a process that ends by itself when its settings change at its start."""
        command = [sys.executable, "-c", SIGHUP_DURING_IMPORTS]
        ended = subprocess.run(command, capture_output=True, text=True, timeout=WAIT_S)
        assert (ended.returncode, ended.stdout) == (0, "alive\n"), ended.stderr
