"""Admit requests within the rates of workspaces, with one owner for each rate."""

from collections.abc import Awaitable, Callable, Mapping

import trio
from attrs import define, evolve, field
from result import Err, Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.membership import (
    LoanGrant,
    LoanRequest,
    PeerError,
    TokenDemand,
    TokenGrants,
    TokenRequests,
    VmIdentity,
)
from wagtailbay.metrics import Metrics
from wagtailbay.quota.bank import TokenBank
from wagtailbay.quota.const import (
    ASK_RETRY_S,
    BUDGET_PREFIX,
    CALL_TIMEOUT_MS,
    DEFAULT_MAX_WAIT_S,
    LATE_ANSWER_S,
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    OWNERSHIP_INTERVAL_S,
    OWNERSHIP_TERM_S,
    TOKEN_SHARE_PPM,
    TOKEN_TTL_S,
    UNTRACKED_TOKEN_TTL_S,
)
from wagtailbay.quota.link import OwnerLink
from wagtailbay.quota.models import NOT_THE_OWNER, RateExceeded
from wagtailbay.quota.owners import RateOwners
from wagtailbay.quota.wallet import Waiter, Wallet
from wagtailbay.routing import Workspace
from wagtailbay.supervision import run_isolated

RequestTokens = Callable[[str, TokenRequests, int], Awaitable[Result[TokenGrants, PeerError]]]


@define
class WorkspaceQuota:
    """Admits requests with tokens of the VM that owns the workspace's rate.

    The owner has the only bucket of a workspace, so that no request within its rate is refused,
    wherever it arrives, and none beyond it is admitted. A VM requests tokens of all workspaces of
    an owner in one call, for the requests that wait, for those of the next moment, and spare ones
    for the time until the next answer. Without an owner that answers, it goes on with a part of
    what it was granted before.

    Attributes:
        own: Returns this VM's identity, whose run may be renumbered.
        owners: Selects the owner of each workspace's rate.
        request_tokens: Sends a token request to a VM, with a timeout in milliseconds.
        workspaces: Returns the workspaces of the active configuration by name.
        grant_fraction: Returns which part of its rates this VM may grant, given the VMs in contact.
        may_grant_until_s: Until when this VM may grant tokens by the last reading of
            grant_fraction. A VM that was suspended must read it again first.
        wallets: Tokens in hand and demand by workspace.
        links: Calls to each owner.
        background_nursery: Runs the calls to owners; None disables them.
    """

    own: Callable[[], VmIdentity]
    owners: RateOwners
    request_tokens: RequestTokens
    workspaces: Callable[[], Mapping[str, Workspace]]
    grant_fraction: Callable[[float], float]
    clock: Callable[[], float]
    bank: TokenBank = field(factory=TokenBank)
    may_grant_until_s: float = float("-inf")
    wallets: dict[str, Wallet] = field(factory=dict)
    links: dict[str, OwnerLink] = field(factory=dict)
    metrics: Metrics = field(factory=Metrics)
    background_nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Follow the changes of ownership and of the configuration until cancelled."""
        while True:
            self.update_ownership(self.clock())
            await trio.sleep(OWNERSHIP_INTERVAL_S)

    def update_ownership(self, now_s: float) -> None:
        """Own the rates that are assigned to this VM, and forget removed workspaces."""
        self.owners.refresh()
        workspaces = self.workspaces()
        owned = {
            name: workspace
            for name, workspace in workspaces.items()
            if workspace.rate_per_s > 0 and self.owners.owner_of(name) == self.own().vm
        }
        fraction = self.grant_fraction(now_s)
        self.may_grant_until_s = now_s + OWNERSHIP_TERM_S if fraction > 0 else now_s
        self.bank.own(owned, fraction, now_s)
        for name in self.wallets.keys() - workspaces.keys():
            del self.wallets[name]
        for name, wallet in self.wallets.items():
            wallet.update_limits(workspaces[name].rate_per_s, workspaces[name].burst, now_s)
        self._move_wallets(now_s)

    def _move_wallets(self, now_s: float) -> None:
        """Let the requests that wait ask the new owners of their workspaces."""
        for link in tuple(self.links.values()):
            for name in tuple(link.wallets):
                owner = self.owners.owner_of(name)
                if name in self.wallets and owner == link.owner:
                    continue
                wallet = link.wallets.pop(name)
                if name not in self.wallets or owner in (None, self.own().vm):
                    wallet.release_waiters()
                elif wallet.waiters:
                    self._start_calls(self._get_link(owner, name, wallet, now_s), name, now_s)
            if not link.wallets and not link.is_running:
                del self.links[link.owner]

    def grant_tokens(self, requests: TokenRequests, now_s: float) -> TokenGrants:
        """Answer the token requests of another VM."""
        if now_s >= self.may_grant_until_s:
            return TokenGrants((NOT_THE_OWNER,) * len(requests.demands))
        grants = (
            self.bank.grant_demand(demand, requests.borrower, now_s) for demand in requests.demands
        )
        return TokenGrants(tuple(grants))

    def grant(self, request: LoanRequest, now_s: float) -> LoanGrant:
        """Answer the token request of a VM that makes a call for each workspace."""
        workspace = request.budget.removeprefix(BUDGET_PREFIX)
        grant = NOT_THE_OWNER
        if now_s < self.may_grant_until_s:
            grant = self.bank.grant(workspace, request.borrower, request.tokens, now_s)
        share_ppm = TOKEN_SHARE_PPM if grant.is_owner else 0
        return LoanGrant(share_ppm, float(grant.tokens), wait_ms=round(grant.wait_ms))

    async def admit(
        self, workspace: Workspace, now_s: float, max_wait_s: float = DEFAULT_MAX_WAIT_S
    ) -> Result[None, RateExceeded]:
        """Admit a request if its workspace has a token left; may wait for the owner's answer.

        Args:
            max_wait_s: Longest time for which the request may wait; up to twice as long while the
                owner has not answered any call.
        """
        if workspace.rate_per_s <= 0:
            return Ok(None)
        wallet = self.wallets.setdefault(workspace.workspace, Wallet())
        wallet.demand.record(1.0, now_s)
        owner = self.owners.owner_of(workspace.workspace)
        if owner == self.own().vm:
            return self._admit_as_owner(workspace, wallet, now_s)
        link = self._get_link(owner, workspace.workspace, wallet, now_s)
        if wallet.held(now_s) > len(wallet.waiters) and self._take(wallet, now_s):
            self._start_calls(link, workspace.workspace, now_s)
            return Ok(None)
        if link is not None and now_s >= wallet.refused_until_s and wallet.fallback is None:
            max_wait_s = link.max_wait_s(max_wait_s)
            if await self._wait_for_token(workspace.workspace, wallet, link, max_wait_s):
                return Ok(None)
            now_s = self.clock()
            self._check_lost(link, wallet, now_s)
        self._start_calls(link, workspace.workspace, now_s)
        if wallet.take_fallback(now_s):
            return Ok(None)
        return self._refuse(workspace, wallet, now_s)

    def _take(self, wallet: Wallet, now_s: float) -> bool:
        """Spend a token in hand; return False if none is left."""
        spare = wallet.spare
        taken = wallet.take(now_s)
        if wallet.spare < spare:
            self.metrics.record_spare_token()
        return taken

    def _get_link(
        self, owner: str | None, workspace: str, wallet: Wallet, now_s: float
    ) -> OwnerLink | None:
        """Return the link to a workspace's owner; without an answer, the wallet falls back."""
        if owner is None:
            wallet.record_failure(now_s, now_s)
            return None
        link = self.links.get(owner)
        if link is None:
            link = self.links[owner] = OwnerLink(owner)
        link.wallets[workspace] = wallet
        self._check_lost(link, wallet, now_s)
        return link

    @staticmethod
    def _check_lost(link: OwnerLink, wallet: Wallet, now_s: float) -> None:
        """Let a wallet fall back if its owner is lost."""
        unanswered_since_s = link.unanswered_since_s(now_s)
        if unanswered_since_s is not None:
            wallet.record_failure(unanswered_since_s, now_s)

    async def _wait_for_token(
        self, workspace: str, wallet: Wallet, link: OwnerLink, max_wait_s: float
    ) -> bool:
        """Wait for a token of the owner; return whether the request got one."""
        waiter, started_s = Waiter(), self.clock()
        wallet.waiters.append(waiter)
        self._start_calls(link, workspace, started_s)
        try:
            with trio.move_on_after(max_wait_s):
                await waiter.done.wait()
        finally:
            if waiter in wallet.waiters:
                wallet.waiters.remove(waiter)
        self.metrics.record_token_wait((self.clock() - started_s) * 1000)
        return waiter.is_admitted

    def _admit_as_owner(
        self, workspace: Workspace, wallet: Wallet, now_s: float
    ) -> Result[None, RateExceeded]:
        grant = NOT_THE_OWNER
        if now_s < self.may_grant_until_s:
            grant = self.bank.grant(workspace.workspace, self.own().vm, 1, now_s)
        if not grant.is_owner:
            wallet.record_failure(now_s, now_s)
            if not wallet.take_fallback(now_s):
                return self._refuse(workspace, wallet, now_s)
            return Ok(None)
        wallet.fallback = None
        if grant.tokens:
            wallet.record_spent(1, now_s)
            return Ok(None)
        wallet.record_refusal(grant, now_s)
        return self._refuse(workspace, wallet, now_s)

    @staticmethod
    def _refuse(workspace: Workspace, wallet: Wallet, now_s: float) -> Err[RateExceeded]:
        wait_ms = (wallet.available_s - now_s) * 1000
        retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        owner_answers = wallet.fallback is None and now_s < wallet.refused_until_s
        return Err(RateExceeded(workspace.rate_per_s, retry_after_ms, owner_answers))

    def _start_calls(self, link: OwnerLink | None, workspace: str, now_s: float) -> None:
        """Start to call an owner if a workspace needs tokens and no call is in flight."""
        if self.background_nursery is None or link is None or link.is_running:
            return
        if not link.may_need_call(workspace, now_s):
            return

        async def run_calls() -> None:
            await self._run_calls(link)

        link.is_running = True
        self.background_nursery.start_soon(run_isolated, run_calls, "token_calls")

    async def _run_calls(self, link: OwnerLink) -> None:
        """Call an owner, one call after another, while tokens are needed."""
        try:
            while demands := link.demands(self.clock()):
                await self._call_owner(link, demands)
        finally:
            link.is_running, link.asked_s = False, None

    async def _call_owner(self, link: OwnerLink, demands: tuple[TokenDemand, ...]) -> None:
        """Request tokens of an owner and record its answer, also a late one."""
        wallets = [link.wallets[demand.workspace] for demand in demands]
        own, asked_s = self.own(), self.clock()
        link.record_call(asked_s)
        requests = TokenRequests(own.vm, own.incarnation, demands)
        answer = await self.request_tokens(link.owner, requests, CALL_TIMEOUT_MS)
        now_s = self.clock()
        tokens = sum(demand.tokens + demand.spare for demand in demands)
        if isinstance(answer, Err):
            log_event("rate_owner_lost", owner=link.owner, reason=str(answer.err_value))
            self.metrics.record_token_call("failed", tokens)
            link.record_failure(now_s)
            # Wallets that have moved to another owner meanwhile are not concerned.
            for demand, wallet in zip(demands, wallets, strict=True):
                if link.wallets.get(demand.workspace) is wallet:
                    wallet.record_failure(link.lost_since_s, now_s)
            for wallet in link.wallets.values():
                wallet.release_waiters()
            return
        round_trip_s = now_s - asked_s
        is_late = round_trip_s > LATE_ANSWER_S
        if link.unanswered_since_s(now_s) is not None:
            log_event("rate_owner_late", owner=link.owner, round_trip_ms=round(round_trip_s * 1000))
        self.metrics.record_token_call("late" if is_late else "ok", tokens)
        link.record_answer(now_s)
        ttl_s = TOKEN_TTL_S if answer.ok_value.is_tracked else UNTRACKED_TOKEN_TTL_S
        for wallet, demand, grant in zip(wallets, demands, answer.ok_value.grants, strict=True):
            has_moved = link.wallets.get(demand.workspace) is not wallet
            if grant.is_owner:
                grant = evolve(grant, wait_ms=0.0) if has_moved else grant
                wallet.record_grant(demand, grant, asked_s, now_s, ttl_s)
                continue
            if has_moved:
                continue
            log_event("rate_owner_differs", workspace=demand.workspace, owner=link.owner)
            wallet.ask_after_s = now_s + ASK_RETRY_S
            wallet.record_failure(asked_s, now_s)
            wallet.release_waiters()
