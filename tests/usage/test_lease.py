"""Tests of the holder's lease: frozen holders, lost answers and returns of the store."""

import pytest
from usage.fleet import SETTINGS, EraStore, UsageFleet, check_whole, holder, start

from wagtailbay.store import StorePosition
from wagtailbay.usage import ReportOutcome
from wagtailbay.usage.const import DUTY_KEY, MAX_TOKEN, USAGE_LEASE_KIND
from wagtailbay.usage.models import HeldLease


def tokens(fleet: UsageFleet) -> list[int]:
    """Return the tokens of all calls in their order."""
    return [call.token for call in fleet.standin.calls]


class TestFrozenHolder:
    """A holder that was stopped does not act beside its successor."""

    @pytest.mark.parametrize("frozen_s", [1.0, 2.5, 3.0, 3.3, 4.0, 6.0, 9.0])
    async def test_successor_and_resumed_holder_break_no_rule(self, frozen_s: float) -> None:
        """Guards against a resumed holder that sends with its old token or other counts."""
        fleet, truth, send = await start()
        await fleet.run(13, send)
        first = holder(fleet)
        first.is_frozen = True
        await fleet.run(frozen_s, send)
        first.is_frozen = False
        await fleet.run(30, send)
        assert not fleet.standin.violations
        assert len(fleet.holders()) == 1
        missed = set(range(min(truth), fleet.window() - 2)) - fleet.standin.reports.keys()
        assert not missed

    async def test_resumed_holder_decides_nothing_from_old_facts(self) -> None:
        """Guards against a low report by a holder that has not heard of the others since."""
        fleet, _, send = await start()
        await fleet.run(13, send)
        parts, record = holder(fleet).parts, holder(fleet).parts.lease.record
        last = record.floor
        # Stopped for so long that no VM could be waited for any more.
        fleet.now_s += SETTINGS.latest_s(last + 1) - fleet.unix_s + 0.1
        assert parts.planner.plan(record, fleet.now_s).floor == last
        parts.exchange.exchange(fleet.now_s)
        assert parts.planner.plan(record, fleet.now_s).floor == last
        for _ in range(6):
            fleet.now_s += 0.5
            parts.exchange.exchange(fleet.now_s)
        assert parts.planner.plan(record, fleet.now_s).floor > last

    async def test_call_that_was_checked_before_a_freeze_is_not_sent(self) -> None:
        """Guards against a freeze between the choice of a report and its sending."""
        fleet, _, send = await start()
        await fleet.run(13, send)
        first = holder(fleet)
        before = len(fleet.standin.calls)

        def freeze() -> None:
            first.is_frozen = True
            fleet.now_s += SETTINGS.lease_s

        first.api.before_check = freeze
        while not first.is_frozen:
            await fleet.run(0.1, send)
        assert len(fleet.standin.calls) == before
        first.api.before_check = lambda: None
        await fleet.run(8, send)
        first.is_frozen = False
        await fleet.run(15, send)
        assert fleet.holders() != [first.name]
        assert not fleet.standin.violations

    async def test_no_call_starts_that_may_end_after_the_lease(self) -> None:
        """Guards against a call in flight while the successor already acts."""
        fleet, _, _ = await start()
        lease = holder(fleet).parts.lease
        margin_s = SETTINGS.call_timeout_s + SETTINGS.thaw_slack_s
        last_s = lease.written_s + SETTINGS.lease_s - margin_s
        assert lease.may_send(last_s - 0.001)
        assert not lease.may_send(last_s + 0.001)

    async def test_killed_holder_is_replaced_in_time(self) -> None:
        """Guards against missing reports after the loss of the holder."""
        fleet, truth, send = await start()
        await fleet.run(14.6, send)
        fleet.kill(holder(fleet).name)
        await fleet.run(30, send)
        check_whole(fleet, truth, tolerance=0.1)
        assert len(set(tokens(fleet))) == 2

    async def test_successor_waits_for_the_end_of_the_lease(self) -> None:
        """Guards against a successor that acts while the holder may still send."""
        fleet, _, send = await start()
        await fleet.run(13, send)
        first = holder(fleet)
        fleet.kill(first.name)
        while fleet.store.objects[DUTY_KEY].value["vm"] == first.name:
            await fleet.run(0.1, send)
        assert fleet.now_s >= first.parts.lease.written_s + SETTINGS.lease_s
        assert fleet.now_s <= first.parts.lease.written_s + 2 * SETTINGS.lease_s

    async def test_successor_sends_what_the_holder_stored(self) -> None:
        """Guards against a stored report that is lost, or decided again with other counts."""
        fleet, truth, send = await start()
        first = holder(fleet)
        first.api.outcome = ReportOutcome.FAILED
        while not first.parts.lease.record.windows.keys() & truth.keys():
            await fleet.run(0.1, send)
        stored = {
            window: counts
            for window, counts in first.parts.lease.record.windows.items()
            if window in truth
        }
        fleet.kill(first.name)
        fleet.change_counts()
        await fleet.run(15, send)
        assert not fleet.standin.violations
        for window, counts in stored.items():
            assert fleet.standin.reports[window] == counts

    async def test_lease_counts_from_before_the_write(self) -> None:
        """Guards against a holder that trusts the moment at which a slow answer arrived."""
        fleet, _, _ = await start()
        first = holder(fleet)
        lease = first.parts.lease
        sent_s = lease.renew_at_s = fleet.now_s

        async def delay() -> None:
            fleet.now_s += 0.6

        fleet.store.simulate_latency = delay
        await lease.tick(fleet.now_s)
        assert fleet.now_s > sent_s + 1.0
        assert lease.written_s == sent_s

    async def test_holders_in_turn_keep_their_order(self) -> None:
        """Guards against holders that act in the order A, B, A within the lease time."""
        fleet, _, send = await start()
        for _ in range(6):
            first = holder(fleet)
            first.is_frozen = True
            await fleet.run(5.5, send)
            first.is_frozen = False
            await fleet.run(2, send)
        assert not fleet.standin.violations
        assert tokens(fleet) == sorted(tokens(fleet))


class TestYieldDuringRenewal:
    """A holder whose token was refused stays yielded, whatever becomes of its renewal."""

    @pytest.mark.parametrize("fault", ["", "lose_answers", "lose_writes"])
    @pytest.mark.parametrize("during", ["put", "get"])
    async def test_renewal_does_not_undo_the_yield(self, fault: str, during: str, monkeypatch):
        """Guards against more calls with a token that the platform has refused."""
        fleet, _, send = await start()
        await fleet.run(13, send)
        lease = holder(fleet).parts.lease
        refused = lease.record.token
        call = getattr(fleet.store, during)

        async def refuse_meanwhile(*arguments):
            result = await call(*arguments)
            lease.yield_duty("the platform knows a higher token")
            return result

        if fault:
            setattr(fleet.store, fault, 1)
        with monkeypatch.context() as patch:
            patch.setattr(EraStore, during, lambda store, *arguments: refuse_meanwhile(*arguments))
            lease.renew_at_s = fleet.now_s
            await lease.tick(fleet.now_s)
        is_called = during == "put" or bool(fault)
        assert lease.may_send(fleet.now_s) is not is_called
        await fleet.run(15, send)
        assert (holder(fleet).parts.lease.record.token > refused) is is_called
        assert not fleet.standin.violations


class TestStoreFaults:
    """The lease is neither doubled nor lost when the store fails."""

    async def test_write_without_answer_is_read_back(self) -> None:
        """Guards against reports from a record that may not be stored."""
        fleet, truth, send = await start()
        await fleet.run(10, send)
        fleet.store.lose_answers = 1
        await fleet.run(2, send)
        fleet.store.lose_writes = 1
        await fleet.run(20, send)
        check_whole(fleet, truth)
        assert len(set(tokens(fleet))) == 1

    async def test_takeover_without_answer_breaks_no_rule(self) -> None:
        """Guards against a successor that takes over twice, or with an equal token."""
        fleet, truth, send = await start()
        await fleet.run(13, send)
        fleet.kill(holder(fleet).name)
        fleet.store.lose_answers = 1
        await fleet.run(30, send)
        check_whole(fleet, truth, tolerance=0.1)

    async def test_nothing_is_sent_once_the_lease_ends_during_an_outage(self) -> None:
        """Guards against a holder that goes on without the store."""
        fleet, _, send = await start()
        await fleet.run(13, send)
        fleet.store.down = True
        await fleet.run(SETTINGS.lease_s, send)
        before = len(fleet.standin.calls)
        await fleet.run(20, send)
        assert len(fleet.standin.calls) == before
        fleet.store.down = False
        await fleet.run(20, send)
        assert not fleet.standin.violations
        assert len(fleet.standin.calls) > before

    async def test_all_vms_lose_power(self) -> None:
        """Guards against equal tokens or other counts after a start of all VMs at once."""
        fleet, _, send = await start()
        await fleet.run(14.3, send)
        cut = fleet.window()
        for name in tuple(fleet.vms):
            fleet.kill(name)
        await fleet.run(1)
        for name in tuple(fleet.vms):
            fleet.add(name)
        await fleet.run(40, send)
        assert not fleet.standin.violations
        # Nobody knows what was counted in the window before the VMs lost power.
        assert cut not in fleet.standin.reports
        assert len(set(tokens(fleet))) == 2
        assert fleet.window() - 3 in fleet.standin.reports


class TestStoreReturn:
    """Tokens rise and reports stay what they were when the store returns from a copy."""

    @pytest.mark.parametrize("age_s", [1.0, 7.0, 14.0])
    async def test_holder_continues_after_a_return(self, age_s: float) -> None:
        """Guards against a record that has lost reports which were sent."""
        fleet, truth, send = await start()
        await fleet.run(10, send)
        copy = fleet.store.copy()
        await fleet.run(age_s, send)
        fleet.store.restore(copy)
        fleet.change_counts()
        holder(fleet).api.loses_answers = True
        holder(fleet).parts.planner.accepted.clear()
        await fleet.run(25, send)
        check_whole(fleet, truth)

    async def test_successor_after_a_return_repeats_no_window_with_other_counts(self) -> None:
        """Guards against a successor that decides windows again that the copy lacks."""
        fleet, _, send = await start()
        await fleet.run(15, send)
        copy, reported = fleet.store.copy(), len(fleet.standin.reports)
        await fleet.run(1.6, send)
        assert len(fleet.standin.reports) > reported
        fleet.kill(holder(fleet).name)
        fleet.store.restore(copy)
        fleet.change_counts()
        await fleet.run(30, send)
        assert not fleet.standin.violations
        assert len(set(tokens(fleet))) == 2
        assert fleet.window() - 3 in fleet.standin.reports

    async def test_start_of_all_vms_with_a_copy_without_a_record(self) -> None:
        """Guards against tokens that start again at 1 when nobody remembers the last one."""
        fleet, _, send = await start()
        copy = (0, {})
        await fleet.run(10, send)
        for name in tuple(fleet.vms):
            fleet.kill(name)
        fleet.store.restore(copy)
        await fleet.run(1)
        for name in tuple(fleet.vms):
            fleet.add(name)
        await fleet.run(25, send)
        assert not fleet.standin.violations
        assert len(set(tokens(fleet))) == 2

    async def test_write_that_replaces_a_successor_gives_no_lease(self) -> None:
        """Guards against a resumed holder whose write fits a revision that was given out again."""
        fleet, _, send = await start()
        await fleet.run(10, send)
        first = holder(fleet)
        first.is_frozen = True
        revision = fleet.store.revision
        _, objects = fleet.store.copy()
        fleet.store.restore((revision - 6, objects))
        while (
            StorePosition.from_version(fleet.store.objects[DUTY_KEY].version).revision != revision
            or fleet.store.objects[DUTY_KEY].value["vm"] == first.name
        ):
            await fleet.run(0.1, send)
        first.is_frozen = False
        await fleet.run(0.1, send)
        assert fleet.store.objects[DUTY_KEY].value["vm"] == first.name
        assert first.parts.lease.record is None
        await fleet.run(25, send)
        assert not fleet.standin.violations
        assert len(fleet.holders()) == 1


class TestTokens:
    """Tokens stay within the range that the platform can read."""

    async def test_token_far_ahead_of_time_is_not_continued(self) -> None:
        """Guards against a peer's fault that raises the stored token for good."""
        fleet, _, send = await start()
        await fleet.run(13, send)
        first = holder(fleet)
        held = HeldLease(MAX_TOKEN, first.parts.lease.version)
        vm = next(vm for vm in fleet.vms.values() if vm is not first)
        vm.facts.publish(USAGE_LEASE_KIND, "", held, ttl_ms=60_000, now_s=fleet.now_s)
        await fleet.run(1, send)
        fleet.kill(first.name)
        await fleet.run(20, send)
        assert holder(fleet).parts.lease.record.token < MAX_TOKEN / 2
        assert not fleet.standin.violations
