"""Admit requests within the rates of workspaces, with one owner for each rate."""

from collections.abc import Awaitable, Callable, Mapping

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.membership import LoanGrant, LoanRequest, PeerError, VmIdentity
from wagtailbay.membership.loans import TOKEN_LOAN_TERM_MS
from wagtailbay.quota.bank import TokenBank
from wagtailbay.quota.const import (
    ASK_TIMEOUT_MS,
    BUDGET_PREFIX,
    MAX_ASKS,
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    OWNERSHIP_INTERVAL_S,
    OWNERSHIP_TERM_S,
    TOKEN_SHARE_PPM,
)
from wagtailbay.quota.models import NOT_THE_OWNER, RateExceeded, TokenGrant
from wagtailbay.quota.owners import RateOwners
from wagtailbay.quota.wallet import Wallet
from wagtailbay.routing import Workspace
from wagtailbay.supervision import run_isolated

RequestTokens = Callable[[str, LoanRequest, int], Awaitable[Result[LoanGrant, PeerError]]]


@define
class WorkspaceQuota:
    """Admits requests with tokens of the VM that owns the workspace's rate.

    The owner has the only bucket of a workspace, so that no request within its rate is refused,
    wherever it arrives, and none beyond it is admitted. A VM requests tokens for the requests that
    wait and for those of the next moment. Without an owner that answers, it goes on with a part of
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
        background_nursery: Runs token requests in advance; None disables them.
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

    def grant(self, request: LoanRequest, now_s: float) -> LoanGrant:
        """Answer the token request of another VM."""
        workspace = request.budget.removeprefix(BUDGET_PREFIX)
        grant = NOT_THE_OWNER
        if now_s < self.may_grant_until_s:
            grant = self.bank.grant(workspace, request.borrower, request.tokens, now_s)
        share_ppm = TOKEN_SHARE_PPM if grant.is_owner else 0
        return LoanGrant(share_ppm, float(grant.tokens), wait_ms=round(grant.wait_ms))

    async def admit(self, workspace: Workspace, now_s: float) -> Result[None, RateExceeded]:
        """Admit a request if its workspace has a token left; may wait for the owner's answer."""
        if workspace.rate_per_s <= 0:
            return Ok(None)
        wallet = self.wallets.setdefault(workspace.workspace, Wallet())
        wallet.demand.record(1.0, now_s)
        owner = self.owners.owner_of(workspace.workspace)
        if owner == self.own().vm:
            return self._admit_as_owner(workspace, wallet, now_s)
        if wallet.take(now_s):
            if wallet.needs_refill(now_s):
                self._request_ahead(workspace, wallet, owner)
            return Ok(None)
        if wallet.fallback is not None and self.background_nursery is not None:
            if now_s >= wallet.ask_after_s:
                self._request_ahead(workspace, wallet, owner)
            if wallet.take_fallback(now_s):
                return Ok(None)
            return self._refuse(workspace, wallet, now_s)
        for _ in range(MAX_ASKS):
            if now_s < max(wallet.refused_until_s, wallet.ask_after_s):
                break
            await self._wait_for_tokens(workspace, wallet, owner)
            now_s = self.clock()
            if wallet.take(now_s):
                return Ok(None)
        if wallet.take_fallback(now_s):
            return Ok(None)
        return self._refuse(workspace, wallet, now_s)

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
        wallet.record_grant(grant, now_s, needed=1)
        return Ok(None) if wallet.take(now_s) else self._refuse(workspace, wallet, now_s)

    @staticmethod
    def _refuse(workspace: Workspace, wallet: Wallet, now_s: float) -> Err[RateExceeded]:
        wait_ms = (wallet.available_s - now_s) * 1000
        retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        return Err(RateExceeded(workspace.rate_per_s, retry_after_ms, wallet.fallback is None))

    async def _wait_for_tokens(
        self, workspace: Workspace, wallet: Wallet, owner: str | None
    ) -> None:
        """Request tokens, or wait for the answer to the request that is on its way."""
        wallet.waiting += 1
        try:
            if wallet.answered is not None:
                await wallet.answered.wait()
            else:
                await self._request(workspace, wallet, owner)
        finally:
            wallet.waiting -= 1

    def _request_ahead(self, workspace: Workspace, wallet: Wallet, owner: str | None) -> None:
        """Request tokens in the background, without a request that waits for them."""
        if self.background_nursery is None or wallet.answered is not None:
            return

        async def request() -> None:
            if wallet.answered is None:
                await self._request(workspace, wallet, owner)

        self.background_nursery.start_soon(run_isolated, request, "token_refill")

    async def _request(self, workspace: Workspace, wallet: Wallet, owner: str | None) -> None:
        """Request tokens of the owner and record its answer."""
        wallet.answered = trio.Event()
        try:
            asked_s = self.clock()
            wanted = wallet.wanted(asked_s)
            grant = await self._call_owner(workspace.workspace, owner, wanted)
            if grant.is_owner:
                wallet.record_grant(grant, self.clock(), needed=wallet.waiting)
            else:
                wallet.record_failure(asked_s, self.clock())
        finally:
            wallet.answered.set()
            wallet.answered = None

    async def _call_owner(self, workspace: str, owner: str | None, wanted: int) -> TokenGrant:
        if owner is None:
            return NOT_THE_OWNER
        request = LoanRequest(
            self.own().vm,
            self.own().incarnation,
            BUDGET_PREFIX + workspace,
            TOKEN_SHARE_PPM,
            TOKEN_LOAN_TERM_MS,
            tokens=wanted,
        )
        match await self.request_tokens(owner, request, ASK_TIMEOUT_MS):
            case Ok(LoanGrant(share_ppm=share_ppm, tokens=tokens, wait_ms=wait_ms)) if share_ppm:
                return TokenGrant(min(wanted, int(tokens)), wait_ms)
            case Ok(_):
                log_event("rate_owner_differs", workspace=workspace, owner=owner)
            case Err(error):
                log_event("rate_owner_lost", workspace=workspace, owner=owner, reason=str(error))
        return NOT_THE_OWNER
