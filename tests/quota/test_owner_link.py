"""Tests of when an owner counts as lost, and of the tokens that may be unspent."""

from attrs import evolve
from quota.fleet import QUOTA_OVERAGE, QUOTA_SLACK, WINDOW_S

from wagtailbay.membership import TokenDemand
from wagtailbay.quota import TokenBank
from wagtailbay.quota.const import ASK_RETRY_S, MAX_LOST_S, MIN_LOST_S
from wagtailbay.quota.link import OwnerLink, RoundTrip
from wagtailbay.routing import Workspace

WORKSPACE = Workspace("unam", frozenset(), rate_per_s=30.0, burst=30.0)


class TestRoundTrip:
    """The time after which an owner counts as lost follows the measured round trips."""

    def test_bound_of_a_fast_owner(self) -> None:
        """Guards against losing an owner for a pause that any VM may have."""
        round_trip = RoundTrip()
        for _ in range(20):
            round_trip.record(0.002)
        assert round_trip.lost_after_s() == MIN_LOST_S

    def test_bound_follows_a_slow_owner(self) -> None:
        """Guards against losing an owner whose answers always take long."""
        round_trip = RoundTrip()
        for number in range(6):
            round_trip.record((0.5, 2.0)[number % 2])
        assert 2.0 < round_trip.lost_after_s() <= MAX_LOST_S


class TestOwnerLink:
    """An owner is late first, and lost after a bound or a connection error."""

    def test_late_owner_is_lost_after_the_bound_only(self) -> None:
        """Guards against a fallback while an answer is only late."""
        link = OwnerLink("vm-1")
        link.record_call(10.0)
        assert link.unanswered_since_s(10.0 + MIN_LOST_S - 0.01) is None
        assert link.unanswered_since_s(10.0 + MIN_LOST_S + 0.01) == 10.0
        link.record_answer(12.0)
        assert link.unanswered_since_s(20.0) is None

    def test_failed_call_loses_the_owner_until_it_answers(self) -> None:
        """Guards against waiting for an owner that cannot be connected, call after call."""
        link = OwnerLink("vm-1")
        link.record_call(10.0)
        link.record_failure(10.1)
        assert (link.unanswered_since_s(10.1), link.ask_after_s) == (10.0, 10.1 + ASK_RETRY_S)
        link.record_call(10.4)
        link.record_failure(10.5)
        assert link.unanswered_since_s(10.5) == 10.0
        link.record_call(11.0)
        link.record_answer(11.1)
        assert link.unanswered_since_s(11.1) is None


class TestUnspentTokens:
    """The bucket and the unspent tokens of all VMs stay within what a window allows."""

    @staticmethod
    def bank(now_s: float) -> TokenBank:
        """Return a bank with a full bucket."""
        bank = TokenBank()
        bank.own({"unam": WORKSPACE}, 1.0, now_s - 60)
        return bank

    def test_hoarded_tokens_count_against_the_bucket(self) -> None:
        """Guards against a burst from the hands of all VMs and the full bucket at once."""
        bank, hands, now_s = self.bank(100.0), {}, 100.0
        allowed = WINDOW_S * WORKSPACE.rate_per_s + WORKSPACE.burst
        allowed = allowed * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
        for step in range(400):
            vm, now_s = f"vm-{step % 20}", now_s + 0.05
            demand = TokenDemand("unam", 2, spare=20, held=hands.get(vm, 0))
            grant = bank.grant_demand(demand, vm, now_s)
            hands[vm] = demand.held + grant.tokens + grant.spare
            in_hands, level = sum(hands.values()), bank.buckets["unam"].level
            assert in_hands + level + WINDOW_S * WORKSPACE.rate_per_s <= allowed
        assert in_hands > WORKSPACE.burst

    def test_vm_that_is_gone_frees_the_bucket(self) -> None:
        """Guards against a rate that stays low since a VM ended with tokens in hand."""
        bank = self.bank(100.0)
        for number in range(20):
            demand = TokenDemand("unam", 2, spare=20, held=5)
            bank.grant_demand(demand, f"vm-{number}", 100.0)
        bank.grant_demand(TokenDemand("unam", 0), "vm-30", 110.0)
        assert bank.buckets["unam"].level == WORKSPACE.burst

    def test_spare_tokens_are_even_and_end_with_the_room(self) -> None:
        """Guards against a VM that keeps the whole bucket, and spare tokens under flood."""
        bank = self.bank(100.0)
        for number in range(10):
            bank.grant_demand(TokenDemand("unam", 0), f"vm-{number}", 100.0)
        grant = bank.grant_demand(TokenDemand("unam", 0, spare=20), "vm-0", 100.0)
        assert grant.spare == 3
        held = evolve(TokenDemand("unam", 0, spare=20), held=3)
        assert bank.grant_demand(held, "vm-0", 100.0).spare == 0
        flood = bank.grant_demand(TokenDemand("unam", 500, spare=20), "vm-1", 100.0)
        assert (flood.tokens, flood.spare) == (27, 0)
        assert flood.wait_ms > 0
