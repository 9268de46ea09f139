"""Tests of the bound of a workspace with tokens in the hands of VMs, without a network."""

import pytest
from attrs import define, field
from quota.fleet import QUOTA_OVERAGE, QUOTA_SLACK, WINDOW_S

from wagtailbay.membership import TokenDemand, TokenGrant
from wagtailbay.quota import TokenBank
from wagtailbay.quota.const import SPARE_INTERVAL_S
from wagtailbay.quota.wallet import Waiter, Wallet
from wagtailbay.routing import Workspace

STEP_S = 0.05


@define
class Hands:
    """An owner with a full bucket, and VMs that hold tokens of one workspace."""

    workspace: Workspace
    vms: int
    bank: TokenBank = field(factory=TokenBank)
    wallets: dict[str, Wallet] = field(init=False)
    called_s: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Fill the bucket."""
        self.bank.own({"w": self.workspace}, 1.0, -60.0)
        self.wallets = {f"vm-{number}": Wallet() for number in range(self.vms)}

    def ask(self, vm: str, now_s: float) -> None:
        """Request the tokens that a VM needs."""
        demand = self.wallets[vm].demand_at("w", now_s, 0.07, 0.77)
        grant = self.bank.grant_demand(demand, vm, now_s)
        self.wallets[vm].record_grant(demand, grant, now_s, now_s)

    def send_within_rate(self, seconds: float) -> float:
        """Send requests at 0.9 of the rate to all VMs in turn; return the time of the last."""
        now_s = 0.0
        while now_s < seconds:
            for vm, wallet in self.wallets.items():
                now_s += 1 / (0.9 * self.workspace.rate_per_s)
                wallet.demand.record(1.0, now_s)
                if not wallet.take(now_s):
                    wallet.waiters.append(Waiter())
                is_due = now_s - self.called_s.get(vm, -60.0) > SPARE_INTERVAL_S
                if wallet.waiters or is_due:
                    self.called_s[vm] = now_s
                    self.ask(vm, now_s)
        return now_s

    def spend_all(self, now_s: float) -> int:
        """Spend all tokens in hand; return their number."""
        return sum(wallet.take(now_s) for wallet in self.wallets.values() for _ in range(1_000))

    def flood(self, start_s: float, is_owner_flooded: bool) -> int:
        """Return how many requests a flood of WINDOW_S gets in, at the owner or at the VMs."""
        admitted, demand = 0, TokenDemand("w", 1_000, waiting=1_000)
        for step in range(round(WINDOW_S / STEP_S)):
            now_s = start_s + step * STEP_S
            if is_owner_flooded:
                admitted += self.bank.grant("w", "owner", 10_000, now_s).tokens
            else:
                for vm in self.wallets:
                    admitted += self.bank.grant_demand(demand, vm, now_s).tokens
        return admitted

    def max_allowed(self) -> float:
        """Return the number of admissions allowed in any window."""
        allowed = self.workspace.rate_per_s * WINDOW_S + self.workspace.burst
        return allowed * (1 + QUOTA_OVERAGE) + QUOTA_SLACK


class TestFloodWithTokensInHand:
    """A flood gets the bucket and all tokens in hand, and stays within the bound."""

    @pytest.mark.parametrize("pause_s", [0.5, 1.5, 2.0, 2.5])
    @pytest.mark.parametrize("is_owner_flooded", [True, False], ids=["owner", "vms"])
    @pytest.mark.parametrize(
        ("rate_per_s", "burst", "vms"),
        [(20, 100, 25), (60, 300, 60), (50, 200, 12), (100, 200, 1), (40, 80, 25)],
    )
    def test_flood_after_a_pause(self, rate_per_s, burst, vms, is_owner_flooded, pause_s):
        """Guards against a bucket that fills up beside tokens that were in hand."""
        hands = Hands(Workspace("w", frozenset(), rate_per_s=rate_per_s, burst=burst), vms)
        start_s = hands.send_within_rate(20.0) + pause_s
        in_hand = hands.spend_all(start_s)
        admitted = in_hand + hands.flood(start_s, is_owner_flooded)
        assert in_hand
        assert admitted <= hands.max_allowed()

    def test_flood_when_the_tokens_in_hand_expire(self):
        """Guards against a bucket that fills up once spent tokens no longer count."""
        hands = Hands(Workspace("w", frozenset(), rate_per_s=100.0, burst=200.0), 1)
        (wallet,) = hands.wallets.values()
        hands.send_within_rate(20.0)
        start_s = wallet.expires_s - 0.01
        in_hand = hands.spend_all(start_s)
        # The flood reaches the owner after it has ceased to count them.
        admitted = in_hand + hands.flood(start_s + 0.5, is_owner_flooded=True)
        assert in_hand > 50
        assert admitted <= hands.max_allowed()


class TestTokensOfWaitingRequests:
    """Tokens that the owner counts for a short time are spent on arrival or expire."""

    @pytest.mark.parametrize(
        ("answer_s", "waiting_still", "admitted"),
        [(0.07, 50, 50), (0.07, 20, 20), (0.07, 0, 0), (0.5, 50, 0), (2.5, 50, 0)],
    )
    def test_tokens_without_their_requests_expire(self, answer_s, waiting_still, admitted):
        """Guards against unspent tokens beside a bucket that has filled up, also after a freeze."""
        bank, wallet = TokenBank(), Wallet(tokens=0, spare=3, expires_s=3.0)
        bank.own({"w": Workspace("w", frozenset(), rate_per_s=20.0, burst=50.0)}, 1.0, -60.0)
        wallet.waiters.extend(Waiter() for _ in range(50))
        demand = wallet.demand_at("w", 0.0, 0.07, 0.77)
        grant = bank.grant_demand(demand, "vm-0", 0.0)
        waiters = list(wallet.waiters)[:waiting_still]
        wallet.waiters.clear()
        wallet.waiters.extend(waiters)
        wallet.record_grant(demand, grant, 0.0, answer_s)
        assert (grant.tokens, grant.spare) == (50, 0)
        spent = min(3, waiting_still - admitted)
        assert sum(waiter.is_admitted for waiter in waiters) == admitted + spent
        assert wallet.held(answer_s) == 3 - spent <= bank.unspent["w"]["vm-0"].tokens


class TestLowerRate:
    """Tokens granted for a higher rate or burst are not spent after it was lowered."""

    @pytest.mark.parametrize(("rate_per_s", "burst"), [(5.0, 300.0), (60.0, 5.0)])
    def test_tokens_in_hand_are_dropped(self, rate_per_s, burst):
        """Guards against 125 tokens in hand that are admitted at a rate of 5 requests/s."""
        wallet = Wallet(tokens=7, spare=3, expires_s=10.0)
        wallet.update_limits(60.0, 300.0, 1.0)
        assert wallet.held(1.0) == 10
        wallet.update_limits(rate_per_s, burst, 2.0)
        assert wallet.held(2.0) == 0
        demand, grant = TokenDemand("w", 4, spare=2), TokenGrant(4, 0.0, spare=2)
        wallet.record_grant(demand, grant, 1.95, 2.02)
        assert wallet.held(2.02) == 0
        wallet.record_grant(demand, grant, 2.03, 2.1)
        assert wallet.held(2.1) == 6
