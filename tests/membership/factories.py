"""Build membership components that tests connect without a network."""

import random

from result import Ok

from wagtailbay.membership import (
    Exchanger,
    FactCodec,
    FactTable,
    IsolationCheck,
    Member,
    Quorum,
    Roster,
    VmIdentity,
    VmState,
)
from wagtailbay.membership.codec import VmListFact
from wagtailbay.membership.wire import decode_exchange, encode_exchange
from wagtailbay.replica import Freshness, Replica, StoreReader

CODEC = FactCodec({"vm_list": VmListFact, "stop": VmListFact, "demand": VmListFact})
VALUE = VmListFact(1, ())


def identity(vm: str, incarnation: int = 1, zone: str = "z1") -> VmIdentity:
    """Return an identity with placeholder addresses."""
    return VmIdentity(vm, incarnation, "127.0.0.1:1", "127.0.0.1:2", zone)


def member(vm: str, state: VmState = VmState.LIVE, **values: object) -> Member:
    """Return a member; incarnation and zone are passed to its identity."""
    names = ("incarnation", "zone")
    own = {name: values.pop(name) for name in names if name in values}
    return Member(identity(vm, **own), state, **{"sequence": 1, **values})


def exchanger(vm: str, *, incarnation: int = 1, max_vms: int = 3) -> Exchanger:
    """Return the exchanger of a live VM."""
    roster = Roster(identity(vm, incarnation))
    roster.announce(VmState.LIVE)
    replica, freshness = Replica(), Freshness()
    reader = StoreReader(None, replica, freshness, lambda: False, lambda: 0.0, random.Random(1))
    quorum = Quorum(roster, lambda: max_vms)
    facts = FactTable(vm, incarnation)
    isolation = IsolationCheck.starting(0.0)
    return Exchanger(roster, facts, replica, freshness, reader, quorum, isolation)


def call(caller: Exchanger, callee: Exchanger, now_s: float, *, lose_answer: bool = False) -> bool:
    """Run one exchange with encoded messages; return whether both sides accept the other's."""
    request = caller.build_message(callee.roster.own.vm, now_s)
    sent = encode_exchange(request, CODEC, now_s)
    if not isinstance(
        callee.apply_message(decode_exchange(sent, CODEC, now_s).ok_value, now_s), Ok
    ):
        return False
    answer = encode_exchange(
        callee.build_message(caller.roster.own.vm, now_s, is_answer=True), CODEC, now_s
    )
    if lose_answer:
        return True
    message = decode_exchange(answer, CODEC, now_s).ok_value
    if not isinstance(caller.apply_message(message, now_s, call_sent_s=now_s), Ok):
        return False
    caller.record_answered_call(callee.roster.own.vm, request, now_s)
    return True
