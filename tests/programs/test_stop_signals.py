"""Tests of signals in series and during the start, with real processes."""

import signal
import subprocess
import sys
from random import Random

import trio

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


class TestSignalsInSeries:
    """A planned stop goes on whatever signals follow."""

    async def test_second_sigterm_does_not_cut_requests(self, nursery):
        """Guards against cutting deposits in progress when SIGTERM comes twice."""
        history, responses = History(), []
        api = ObjectApiStandin()
        api.put_spec("config", "main", build_config(CONFIG_VERSION, RECORD_ROUTES))
        store_address = await nursery.start(api.serve)
        target = SoakTarget("t1", history, Random(1), refusal_share=0.0, work_range_s=(1.5, 1.5))
        address = await nursery.start(target.serve)
        zone = next(iter(ZONES))
        api.put_fields("servers", "t1", build_registration(address, zone))
        with ProcessGroup() as group:
            vm = SoakVm("127.3.1.1", zone, group, history, store_address)
            vm.start(first_start=True)
            await vm.wait_ready()

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


class TestReloadDuringStart:
    """A reload signal does not end a process that is still starting."""

    def test_sighup_during_the_imports_is_ignored(self):
        """Guards against a process that ends by itself when its settings change at its start."""
        command = [sys.executable, "-c", SIGHUP_DURING_IMPORTS]
        ended = subprocess.run(command, capture_output=True, text=True, timeout=WAIT_S)
        assert (ended.returncode, ended.stdout) == (0, "alive\n"), ended.stderr
