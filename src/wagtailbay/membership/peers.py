"""Exchange messages with each neighbour in a task of its own."""

from collections.abc import Callable, Mapping

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.logs import log_event
from wagtailbay.membership.client import PeerClient
from wagtailbay.membership.codec import FactCodec
from wagtailbay.membership.const import (
    HEARTBEAT_S,
    HOUSEKEEPING_INTERVAL_S,
    MIN_CALL_INTERVAL_S,
)
from wagtailbay.membership.exchange import Exchanger
from wagtailbay.membership.layout import build_layout
from wagtailbay.membership.messages import ExchangeMessage, PeerError, PeerFailure
from wagtailbay.membership.models import VmState
from wagtailbay.membership.selection import high_capacity_members, responsive_members
from wagtailbay.membership.wire import decode_exchange, encode_exchange
from wagtailbay.replica import ChangeSignal
from wagtailbay.store import VmList
from wagtailbay.supervision import keep_running


@define
class PeerLoop:
    """Exchanges messages with one peer, once per second and at once after an urgent change.

    In each pair of VMs the call initiator makes the regular calls. The other VM calls only after
    the initiator's calls have not proven contact for too long, for example because the initiator
    has not chosen it as a neighbour.

    Attributes:
        record_call: Called with the outcome of each call, ``ok`` or ``failed``.
        urgent: Set when a change must reach the peer at once.
        last_error: Why the last call failed, None if it succeeded.
    """

    vm: str
    exchanger: Exchanger
    client: PeerClient
    codec: FactCodec
    clock: Callable[[], float]
    record_call: Callable[[str], None] = lambda outcome: None
    urgent: trio.Event = field(factory=trio.Event)
    last_error: PeerError | None = None

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        while True:
            self.urgent = trio.Event()
            started_s = trio.current_time()
            await self.exchange()
            with trio.move_on_at(started_s + HEARTBEAT_S):
                await self.urgent.wait()
            await self._wait_while_deferred()
            await trio.sleep_until(started_s + MIN_CALL_INTERVAL_S)

    async def _wait_while_deferred(self) -> None:
        """Wait for an urgent change while the peer's calls make a call to it unnecessary."""
        while (call_deferral_s := self.exchanger.call_deferral_s(self.vm, self.clock())) > 0:
            with trio.move_on_after(call_deferral_s):
                await self.urgent.wait()
                return

    async def exchange(self) -> None:
        """Call the peer once and apply its answer."""
        call_sent_s = self.clock()
        message = self.exchanger.build_message(self.vm, call_sent_s)
        answer = await self.client.exchange(
            self.vm, encode_exchange(message, self.codec, call_sent_s)
        )
        match answer:
            case Ok(data):
                self._record_result(self._apply_answer(data, call_sent_s, message))
            case Err(error):
                self.exchanger.record_failed_call(self.vm)
                self.exchanger.record_newer_run(error.known_incarnation, self.clock())
                self._record_result(error)

    def _apply_answer(
        self, data: bytes, call_sent_s: float, sent: ExchangeMessage
    ) -> PeerError | None:
        now_s = self.clock()
        match decode_exchange(data, self.codec, now_s):
            case Err(reason):
                return PeerError(self.vm, PeerFailure.MALFORMED, reason)
            case Ok(message) if message.sender.identity.vm != self.vm:
                reason = f"{message.sender.identity.vm} answers at its address"
                return PeerError(self.vm, PeerFailure.MALFORMED, reason)
            case Ok(message):
                applied = self.exchanger.apply_message(message, now_s, call_sent_s)
        if isinstance(applied, Err):
            return PeerError(self.vm, PeerFailure.REFUSED, applied.err_value)
        self.exchanger.record_answered_call(self.vm, sent, now_s)
        return None

    def _record_result(self, error: PeerError | None) -> None:
        """Record a call's result; log each new kind of failure and the recovery from it."""
        self.record_call("ok" if error is None else "failed")
        if error is not None and (
            self.last_error is None or self.last_error.kind is not error.kind
        ):
            log_event("peer_unreachable", peer=self.vm, reason=str(error))
        elif error is None and self.last_error is not None:
            log_event("peer_reachable", peer=self.vm)
        self.last_error = error


@define
class PeerSet:
    """Runs a PeerLoop for each neighbour and adjusts to changes of the fleet.

    Attributes:
        configured_addresses: Peer addresses from the settings, by VM.
        get_vm_list: Returns the newest known list of VMs from the platform, None if there is none.
        record_call: Called with the outcome of each call, ``ok`` or ``failed``.
        loops: The running loops, by VM.
    """

    exchanger: Exchanger
    client: PeerClient
    codec: FactCodec
    clock: Callable[[], float]
    configured_addresses: Mapping[str, str]
    get_vm_list: Callable[[], VmList | None]
    record_call: Callable[[str], None] = lambda outcome: None
    loops: dict[str, PeerLoop] = field(factory=dict)
    cancel_scopes: dict[str, trio.CancelScope] = field(factory=dict)

    def zone_by_vm(self) -> dict[str, str | None]:
        """Return the availability zone of each VM that may be called, None where it is unknown."""
        zone_by_vm: dict[str, str | None] = dict.fromkeys(self.configured_addresses)
        vm_list = self.get_vm_list()
        zone_by_vm.update({r.vm: r.availability_zone for r in (vm_list.vms if vm_list else ())})
        members = self.exchanger.roster.members
        zone_by_vm.update({vm: m.identity.availability_zone for vm, m in members.items()})
        zone_by_vm.pop(self.exchanger.roster.own.vm, None)
        return {
            vm: zone
            for vm, zone in zone_by_vm.items()
            if vm not in members or members[vm].state is not VmState.LEFT
        }

    def resolve_address(self, vm: str) -> str | None:
        """Return a VM's peer address as announced, else as configured, else as listed."""
        member = self.exchanger.roster.members.get(vm)
        if member is not None and member.identity.peer_address:
            return member.identity.peer_address
        if vm in self.configured_addresses:
            return self.configured_addresses[vm]
        vm_list = self.get_vm_list()
        records = vm_list.vms if vm_list else ()
        return next((record.address for record in records if record.vm == vm), None)

    async def run(self) -> None:
        """Start and stop loops as the neighbours change, until cancelled."""
        self.loops.clear()
        self.cancel_scopes.clear()
        async with trio.open_nursery() as nursery:
            for signal in (
                self.exchanger.facts.changed,
                self.exchanger.replica.changed,
                self.exchanger.roster.announced,
                self.exchanger.reader.contact.failed,
            ):
                nursery.start_soon(self._wake_loops_on_change, signal)
            while True:
                self._update_loops(nursery)
                await trio.sleep(HOUSEKEEPING_INTERVAL_S)

    def _update_loops(self, nursery: trio.Nursery) -> None:
        roster = self.exchanger.roster
        live = responsive_members(roster, self.clock())
        live_vms = {member.identity.vm for member in live}
        zone_by_vm = self.zone_by_vm() | {roster.own.vm: roster.own.availability_zone}
        self.exchanger.layout = build_layout(zone_by_vm, live_vms, high_capacity_members(live))
        neighbours = self.exchanger.layout.neighbours(roster.own.vm)
        for vm in self.loops.keys() - neighbours:
            self.cancel_scopes.pop(vm).cancel()
            del self.loops[vm]
            self.client.close(vm)
        for vm in sorted(neighbours - self.loops.keys()):
            loop = PeerLoop(
                vm, self.exchanger, self.client, self.codec, self.clock, self.record_call
            )
            self.loops[vm], self.cancel_scopes[vm] = loop, trio.CancelScope()
            nursery.start_soon(self._run_loop, loop, self.cancel_scopes[vm])

    @staticmethod
    async def _run_loop(loop: PeerLoop, scope: trio.CancelScope) -> None:
        with scope:
            await keep_running(loop.run, f"peer {loop.vm}")

    async def _wake_loops_on_change(self, signal: ChangeSignal) -> None:
        """Wake the loops after a change of facts or this VM's state, or of urgent objects."""
        is_replica_signal = signal is self.exchanger.replica.changed
        while True:
            await signal.wait()
            for vm, loop in self.loops.items():
                if not is_replica_signal or self.exchanger.has_urgent_objects(vm):
                    loop.urgent.set()

    async def exchange_with_neighbours(self, timeout_ms: int) -> None:
        """Exchange messages with each neighbour once, to announce this VM's final state."""
        with trio.move_on_after(timeout_ms / 1000):
            async with trio.open_nursery() as nursery:
                for loop in self.loops.values():
                    nursery.start_soon(loop.exchange)
