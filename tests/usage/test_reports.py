"""Tests of reports from counting to the platform, over a small fleet."""

import pytest
from usage.fleet import SETTINGS, Truth, UsageFleet, check_whole, holder, start, traffic

from wagtailbay.membership import FleetLayout
from wagtailbay.usage import ReportOutcome


class TestReports:
    """Each window is reported once with what all VMs counted."""

    async def test_reports_are_exact_and_in_time(self) -> None:
        """Guards against counts that are lost, doubled or late on a calm day."""
        fleet, truth, send = await start()
        await fleet.run(40, send)
        check_whole(fleet, truth)
        for call in fleet.standin.calls:
            after_end_s = fleet.unix_s - (fleet.now_s - call.received_s)
            assert after_end_s <= SETTINGS.due_s(call.window)

    async def test_store_calls_are_few(self) -> None:
        """Guards against store calls of VMs other than the holder, which are charged."""
        fleet, _, send = await start(*(f"vm-{number:02}" for number in range(20)))
        fleet.store.calls.clear()
        await fleet.run(30, send)
        assert fleet.store.calls["get"] == 0
        assert fleet.store.calls["put"] <= 31

    async def test_windows_before_the_start_are_not_reported(self) -> None:
        """Guards against a report for a window that nobody can know whole."""
        fleet = UsageFleet()
        first = fleet.window()
        await fleet.run(2.5)
        for name in ("vm-1", "vm-2"):
            fleet.add(name)
        await fleet.run(30)
        assert first not in fleet.standin.reports
        assert fleet.standin.reports[first + 3] == {}

    async def test_attempts_that_did_not_run_are_removed(self) -> None:
        """Guards against counting requests that a target has turned away."""
        fleet, _, _ = await start()
        meter = fleet.vms["vm-2"].parts.meter
        windows = [meter.record_begun("a", fleet.now_s) for _ in range(3)]
        meter.retract("a", windows[0])
        await fleet.run(15)
        assert fleet.standin.reports[windows[0]] == {"a": 2}


class TestClocks:
    """Windows follow true time."""

    @pytest.mark.parametrize("step_s", [3.0, -3.0])
    async def test_stepped_clock_moves_no_count(self, step_s: float) -> None:
        """Guards against a VM whose clock is stepped and that counts in the wrong window."""
        fleet, truth, send = await start()
        await fleet.run(12, send)
        holder(fleet).unix_step_s = step_s
        await fleet.run(25, send)
        check_whole(fleet, truth)

    @pytest.mark.parametrize("step_s", [3.0, -3.0])
    async def test_one_of_two_clocks_is_stepped(self, step_s: float) -> None:
        """Guards against true time that moves by half of the step."""
        fleet, truth, send = await start("vm-1", "vm-2")
        await fleet.run(12, send)
        holder(fleet).unix_step_s = step_s
        await fleet.run(25, send)
        check_whole(fleet, truth)

    async def test_vm_that_starts_with_a_wrong_clock_is_outvoted(self) -> None:
        """Guards against windows that end seconds too early at a VM with a wrong clock."""
        fleet = UsageFleet()
        for name, step_s in (("vm-1", 2.0), ("vm-2", 0.0), ("vm-3", 0.0)):
            fleet.add(name, step_s)
        await fleet.run(12)
        truth: Truth = {}
        await fleet.run(30, traffic(fleet, truth))
        check_whole(fleet, truth)


class TestDelegates:
    """Totals stay right while delegates and VMs change."""

    @staticmethod
    def layout(delegate_of_b: str) -> FleetLayout:
        """Return two cells, one of them with the given delegate."""
        cells = {"a": ("vm-1", "vm-2"), "b": ("vm-3", "vm-4", "vm-5")}
        return FleetLayout(cells, {"a": ("vm-1",), "b": (delegate_of_b,)})

    async def test_change_of_the_delegate_counts_nobody_twice(self) -> None:
        """Guards against a cell that is counted by its old and by its new delegate."""
        layouts = [self.layout("vm-3")]
        names = [f"vm-{number}" for number in range(1, 6)]
        fleet, truth, send = await start(*names, layout=lambda: layouts[-1])
        await fleet.run(13, send)
        layouts.append(self.layout("vm-4"))
        await fleet.run(3.3, send)
        fleet.kill("vm-3")
        await fleet.run(20, send)
        # The killed VM loses what it counted since it last published.
        check_whole(fleet, truth, tolerance=0.05)

    async def test_restarted_vm_keeps_the_counts_of_its_earlier_run(self) -> None:
        """Guards against facts of a new run that replace those of the run before."""
        fleet, truth, send = await start()
        await fleet.run(16.5, send)
        fleet.kill("vm-3")
        fleet.add("vm-3")
        await fleet.run(25, send)
        # At most the counts of the last second of one of three VMs are lost.
        check_whole(fleet, truth, tolerance=0.07)

    async def test_restarted_delegate_keeps_the_counts_of_its_earlier_run(self) -> None:
        """Guards against a cell's sum without the delegate's earlier run that displaces it."""
        cells = {"a": ("vm-1", "vm-2"), "b": ("vm-3", "vm-4", "vm-5")}
        layout = FleetLayout(cells, {"a": ("vm-1", "vm-2"), "b": ("vm-3",)})
        names = [f"vm-{number}" for number in range(1, 6)]
        fleet, truth, send = await start(*names, layout=lambda: layout)
        await fleet.run(16.5, send)
        fleet.kill("vm-3")
        fleet.add("vm-3")
        await fleet.run(25, send)
        # At most the counts of the last half second of one of five VMs are lost.
        check_whole(fleet, truth, tolerance=0.03)


class TestPartition:
    """Counts of a VM that is cut off are waited for, but not for too long."""

    async def test_window_closed_while_a_vm_is_partitioned(self) -> None:
        """Guards against a report without the counts of a VM that comes back in time."""
        fleet, truth, send = await start()
        await fleet.run(13, send)
        fleet.vms["vm-3"].is_partitioned = True
        await fleet.run(4, send)
        fleet.vms["vm-3"].is_partitioned = False
        await fleet.run(20, send)
        check_whole(fleet, truth)

    async def test_lost_vm_does_not_hold_up_the_report(self) -> None:
        """Guards against missing reports of the whole fleet because one VM is missing."""
        fleet, truth, send = await start()
        await fleet.run(13, send)
        fleet.vms["vm-3"].is_partitioned = True
        await fleet.run(30, send)
        assert set(range(min(truth), fleet.window() - 2)) <= fleet.standin.reports.keys()
        assert not fleet.standin.violations


class TestApiFaults:
    """Reports are repeated exactly while the API fails, and within their due time."""

    async def test_api_that_answers_429_gets_the_reports_later(self) -> None:
        """Guards against reports that are lost when calls are refused, and against many calls."""
        fleet, truth, send = await start()
        await fleet.run(10, send)
        api = holder(fleet).api
        api.outcome = ReportOutcome.BUSY
        await fleet.run(5, send)
        api.outcome = None
        await fleet.run(20, send)
        check_whole(fleet, truth)

    async def test_lost_answers_lead_to_exact_repeats(self) -> None:
        """Guards against a second report with other counts after a call without an answer."""
        fleet, truth, send = await start()
        holder(fleet).api.loses_answers = True
        await fleet.run(30, send)
        check_whole(fleet, truth)
        assert len(fleet.standin.calls) > len(fleet.standin.reports)

    async def test_backlog_is_bounded_and_overdue_reports_are_dropped(self) -> None:
        """Guards against a record that grows while the API is away, and against late reports."""
        fleet, _, send = await start()
        api = holder(fleet).api
        api.outcome = ReportOutcome.FAILED
        await fleet.run(60, send)
        assert len(holder(fleet).parts.lease.record.windows) <= 3
        first_in_time = fleet.window() - 2
        api.outcome = None
        await fleet.run(20, send)
        windows = [call.window for call in fleet.standin.calls if call.window >= first_in_time - 1]
        assert windows == sorted(windows)
        assert first_in_time in windows
