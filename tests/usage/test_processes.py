"""Test of the reports of gateway processes while the holder is stopped and resumed."""

import json
import signal
from collections import Counter

import pytest
import trio
from support.gateway import PlatformTarget

from wagtailbay.clock import unix_time_s
from wagtailbay.transport import Request, fetch
from wagtailbay_bench.processes import ProcessGroup
from wagtailbay_bench.soak.const import HOST
from wagtailbay_bench.soak.documents import (
    SoakRoute,
    SoakWorkspace,
    build_config,
    build_registration,
)
from wagtailbay_bench.soak.models import History
from wagtailbay_bench.soak.vms import SoakVm
from wagtailbay_standins.objects import ObjectApiStandin
from wagtailbay_standins.usage_api import UsageApiStandin

ZONE = "r1-z1"
WINDOW_S = 2.0
RULES = {"report_window_ms": "2s", "due_after_ms": "10s", "lease_ms": "3s", "thaw_slack_ms": "0.3s"}
FROZEN_S = 6.0
PUBLISHED_S = 2.2


class UsageDeployment:
    """Three gateways with a store, a target and the API for reports."""

    def __init__(self, group: ProcessGroup, nursery: trio.Nursery) -> None:
        self.group, self.nursery = group, nursery
        self.store, self.api = ObjectApiStandin(era=1), UsageApiStandin()
        self.target = PlatformTarget("t1")
        self.vms: dict[str, SoakVm] = {}
        self.sent: dict[int, Counter] = {}

    async def start(self) -> None:
        """Start all parts and wait until the gateways are ready."""
        routes = [SoakRoute("r", "/r/", "records", True)]
        config = build_config("00000007", routes, [SoakWorkspace("unam", "key-1")])
        self.store.put_spec("config", "main", config)
        store_address = await self.nursery.start(self.store.serve)
        api_address = await self.nursery.start(self.api.serve)
        host, port = await self.nursery.start(self.target.serve)
        fields = build_registration(f"{host}:{port}", ZONE, "records")
        self.store.put_fields("servers", "t1", fields)
        flags = {"usage-api-address": api_address, "usage": json.dumps(RULES)}
        for number in range(1, 4):
            name = f"127.5.0.{number}"
            self.vms[name] = SoakVm(name, ZONE, self.group, History(), store_address)
            self.vms[name].more_flags = flags
        for vm in self.vms.values():
            vm.seeds = [other.peer for other in self.vms.values()]
            vm.start(first_start=True)
        for vm in self.vms.values():
            await vm.wait_ready()

    async def wait_for_reports(self, count: int) -> None:
        """Wait until the API has accepted more reports."""
        wanted = len(self.api.reports) + count
        with trio.fail_after(60):
            while len(self.api.reports) < wanted:
                await trio.sleep(0.05)

    async def send_requests(self) -> None:
        """Send requests to the gateways that are not stopped, and count those that ran."""
        number = 0
        while True:
            number += 1
            for vm in [vm for vm in self.vms.values() if not vm.stopping]:
                headers = (
                    ("Request-Id", f"{vm.name}-{number}"),
                    ("Authorization", "Token key-1"),
                    ("Deadline-Ms", "1000"),
                )
                window = int(unix_time_s() // WINDOW_S)
                answer = await fetch(vm.front, Request("GET", "/r/1", headers, host=HOST), 1_000)
                if answer.is_ok() and answer.ok_value.status == 200:
                    self.sent.setdefault(window, Counter())["unam"] += 1
            await trio.sleep(0.05)


class TestProcesses:
    """The reports are right and the holders follow the rules between real processes."""

    async def test_holder_is_stopped_and_resumed(self) -> None:
        """Guards against two holders, missing windows or other counts around a stopped holder."""
        with ProcessGroup() as group:
            async with trio.open_nursery() as nursery:
                deployment = UsageDeployment(group, nursery)
                await deployment.start()
                nursery.start_soon(deployment.send_requests)
                await deployment.wait_for_reports(2)
                api = deployment.api
                first = deployment.vms[api.calls[-1].holder]
                first.stopping = True
                # A stopped VM keeps what it has not published, for at most 2 s.
                await trio.sleep(PUBLISHED_S)
                first.send_signal(signal.SIGSTOP)
                await trio.sleep(FROZEN_S)
                first.send_signal(signal.SIGCONT)
                await deployment.wait_for_reports(6)
                nursery.cancel_scope.cancel()
        assert api.violations == []
        assert len({call.holder for call in api.calls}) == 2
        windows = sorted(api.reports)
        # Reports start with the first holder; the windows of traffic follow without a gap.
        assert windows == list(range(windows[0], windows[-1] + 1))
        for window in windows[2:]:
            expected = deployment.sent[window]["unam"]
            # A request may be counted on the other side of a window's end than it was sent.
            assert api.reports[window].get("unam", 0) == pytest.approx(expected, abs=3)
