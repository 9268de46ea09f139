"""Tests of the calls of a VM to owners that move, fail or have no tokens."""

from collections.abc import Callable

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.membership import (
    LoanGrant,
    PeerError,
    PeerFailure,
    TokenDemand,
    TokenGrant,
    TokenGrants,
    TokenRequests,
    VmIdentity,
)
from wagtailbay.membership.const import MAX_TOKEN_DEMANDS
from wagtailbay.quota import NOT_THE_OWNER, TokenCaller, WorkspaceQuota
from wagtailbay.quota.const import DEFAULT_MAX_WAIT_S, SINGLE_CALLS_S
from wagtailbay.quota.link import OwnerLink
from wagtailbay.quota.wallet import Waiter, Wallet
from wagtailbay.routing import Workspace

WORKSPACE = Workspace("w", frozenset(), rate_per_s=50.0, burst=10.0)


def grant_all(requests: TokenRequests) -> TokenGrants:
    """Grant all that is requested."""
    return TokenGrants(tuple(TokenGrant(d.tokens, 0.0, spare=d.spare) for d in requests.demands))


@define
class Owners:
    """One owner of all rates, and its answers after a delay.

    Attributes:
        answers: Delay and answer of each owner; None is a call that fails.
        calls: Number of calls made.
    """

    owner: str = "vm-1"
    answers: dict[str, tuple[float, Callable[[TokenRequests], TokenGrants] | None]] = field(
        factory=lambda: {"vm-1": (0.02, grant_all), "vm-2": (0.02, grant_all)}
    )
    calls: int = 0

    def refresh(self) -> None:
        """Do nothing: the owner is set."""

    def owner_of(self, workspace: str) -> str:
        """Return the owner."""
        return self.owner

    async def request(self, vm: str, requests: TokenRequests, timeout_ms: int):
        """Answer a call."""
        self.calls += 1
        delay_s, answer = self.answers[vm]
        await trio.sleep(delay_s)
        if answer is None:
            return Err(PeerError(vm, PeerFailure.TIMEOUT, "no answer"))
        return Ok(answer(requests))

    def quota(self, nursery: trio.Nursery) -> WorkspaceQuota:
        """Return the quota of a VM that owns nothing."""
        own, workspaces = VmIdentity("vm-0", 1, "", "", "z1"), {"w": WORKSPACE}
        return WorkspaceQuota(
            lambda: own,
            self,
            self.request,
            lambda: workspaces,
            lambda now_s: 1.0,
            trio.current_time,
            background_nursery=nursery,
        )


class TestMovedWorkspace:
    """The answer of a former owner does not concern the calls to the present one."""

    async def check_move(self, nursery: trio.Nursery, answer) -> WorkspaceQuota:
        """Move the workspace while a call is in flight; return the quota after the answer."""
        owners = Owners()
        owners.answers["vm-1"] = (1.0, answer)
        quota = owners.quota(nursery)
        nursery.start_soon(quota.admit, WORKSPACE, trio.current_time(), 0.2)
        await trio.sleep(0.5)
        owners.owner = "vm-2"
        quota.update_ownership(trio.current_time())
        assert isinstance(await quota.admit(WORKSPACE, trio.current_time(), 0.2), Ok)
        await trio.sleep(0.6)
        return quota

    async def test_failure_and_denial_of_a_former_owner(self, autojump_clock, nursery):
        """Guards against a fallback, with few tokens, while the present owner answers."""
        denial = TokenGrants((NOT_THE_OWNER,))
        for answer in (None, lambda requests: denial):
            quota = await self.check_move(nursery, answer)
            assert quota.wallets["w"].fallback is None
            quota.wallets["w"].tokens = quota.wallets["w"].spare = 0
            assert isinstance(await quota.admit(WORKSPACE, trio.current_time(), 0.2), Ok)

    async def test_late_grant_of_a_former_owner_is_used(self, autojump_clock, nursery):
        """Guards against refusals by a former owner, and losing what it granted."""
        quota = await self.check_move(
            nursery, lambda requests: TokenGrants((TokenGrant(0, 900.0, spare=4),))
        )
        assert quota.wallets["w"].spare >= 4
        assert quota.wallets["w"].refused_until_s < 0


class TestEmptyOwner:
    """An owner without tokens is not called at once again."""

    async def test_calls_with_tokens_in_hand(self, autojump_clock, nursery):
        """Guards against 847 calls a second while a VM with tokens in hand wants more."""
        owners = Owners()
        owners.answers["vm-1"] = (0.001, lambda requests: TokenGrants((TokenGrant(0, 60.0),)))
        quota = owners.quota(nursery)
        for _ in range(200):
            wallet = quota.wallets.setdefault("w", Wallet())
            wallet.spare, wallet.expires_s = 2, trio.current_time() + 3
            assert isinstance(await quota.admit(WORKSPACE, trio.current_time(), 0.2), Ok)
            await trio.sleep(0.01)
        assert 5 < owners.calls <= 2.0 / 0.06 + 2


class TestFirstCall:
    """A call that opens a connection takes several round trips."""

    async def test_first_request_waits_longer(self, autojump_clock, nursery):
        """Guards against refusing the first request to an owner after 200 ms."""
        owners = Owners()
        owners.answers["vm-1"] = (0.28, grant_all)
        quota = owners.quota(nursery)
        assert isinstance(await quota.admit(WORKSPACE, trio.current_time(), 0.2), Ok)
        assert quota.links["vm-1"].max_wait_s(0.2) == 0.2

    def test_wait_of_a_short_deadline(self):
        """Guards against holding a request that can then no longer be served in time."""
        link = OwnerLink("vm-1")
        assert [link.max_wait_s(wait_s) for wait_s in (0.0, 0.05, 1.0)] == [0.0, 0.1, 1.0]
        assert link.max_wait_s(0.3) == DEFAULT_MAX_WAIT_S


class TestDemandsOfACall:
    """A call carries at most as many demands as its owner accepts."""

    def test_waiting_requests_come_first(self):
        """Guards against an owner that rejects a call, and with it all waiting requests."""
        link, now_s = OwnerLink("vm-1"), 10.0
        for number in range(MAX_TOKEN_DEMANDS + 5):
            wallet = link.wallets[f"w{number}"] = Wallet()
            wallet.demand.record(3.0, now_s)
        wallet.waiters.append(Waiter())
        demands = link.demands(now_s)
        assert len(demands) == MAX_TOKEN_DEMANDS
        assert demands[0].workspace == f"w{number}"

    def test_admission_looks_at_its_own_workspace(self, monkeypatch):
        """Guards against building the demands of 3,000 workspaces for each admission, 5.5 ms."""
        link, now_s, built = OwnerLink("vm-1"), 10.0, []
        link.wallets = {f"w{number}": Wallet() for number in range(50)}
        demand_at = Wallet.demand_at
        monkeypatch.setattr(
            Wallet, "demand_at", lambda *args: built.append(args) or demand_at(*args)
        )
        assert not link.may_need_call("w7", now_s)
        assert len(built) == 1
        link.wallets["w7"].waiters.append(Waiter())
        assert link.may_need_call("w7", now_s)


class TestSingleCalls:
    """A peer without batches is asked for what it can grant."""

    async def test_spare_tokens_cause_no_single_call(self, autojump_clock):
        """Guards against a call for each workspace that wants spare tokens only."""
        borrowed = []

        class Peer:
            async def request_tokens(self, vm, requests, timeout_ms):
                return Err(PeerError(vm, PeerFailure.UNIMPLEMENTED, "unknown"))

            async def borrow(self, vm, request, timeout_ms):
                borrowed.append(request.tokens)
                return Ok(LoanGrant(1, float(request.tokens), wait_ms=0))

        caller = TokenCaller(Peer(), trio.current_time)
        demands = (TokenDemand("a", 0, 5), TokenDemand("b", 2, 5), TokenDemand("c", 0, 5))
        answer = await caller.request("vm-1", TokenRequests("vm-0", 1, demands), 100)
        assert [grant.tokens for grant in answer.ok_value.grants] == [0, 2, 0]
        assert all(grant.is_owner for grant in answer.ok_value.grants)
        assert borrowed == [2]
        await caller.request("vm-1", TokenRequests("vm-0", 1, demands[:1]), 100)
        assert borrowed == [2, 0]
        await trio.sleep(SINGLE_CALLS_S + 1)
        await caller.request("vm-2", TokenRequests("vm-0", 1, demands), 100)
        assert set(caller.single_until_s) == {"vm-2"}
