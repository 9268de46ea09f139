"""Borrow tokens from other VMs before a request within the workspace's rate is refused."""

import random
from collections.abc import Awaitable, Callable

import trio
from attrs import define
from result import Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.membership import LoanGrant, LoanRequest, PeerError, VmIdentity
from wagtailbay.membership.loans import TOKEN_LOAN_TERM_MS
from wagtailbay.quota.const import (
    BORROW_TIMEOUT_MS,
    BUDGET_PREFIX,
    MAX_LENDERS_ASKED,
    TOKEN_SHARE_PPM,
)
from wagtailbay.quota.share import WorkspaceQuota
from wagtailbay.routing import Workspace

RequestLoan = Callable[[str, LoanRequest, int], Awaitable[Result[LoanGrant, PeerError]]]


@define
class TokenBorrower:
    """Borrows single tokens of a workspace's rate from VMs that have unused ones.

    Shares follow demand, but two requests in quick succession can exhaust a small share while
    other VMs still have tokens. A workspace whose demand exceeds half of its rate gets no loans:
    shares add up to more than one while demand moves between VMs, and an overloaded workspace
    must not cause a loan request for each refusal.

    Attributes:
        request_loan: Sends a loan request to a VM, with a timeout in milliseconds.
        lenders: Returns the VMs that may be asked: first those nearby, then all others.
    """

    identity: VmIdentity
    quota: WorkspaceQuota
    request_loan: RequestLoan
    lenders: Callable[[], tuple[list[str], list[str]]]
    clock: Callable[[], float]
    random: random.Random

    async def borrow(self, workspace: Workspace) -> bool:
        """Borrow a token for one request; return whether a VM lent one."""
        if not self.quota.may_borrow(workspace, self.clock()):
            return False
        request = LoanRequest(
            self.identity.vm,
            self.identity.incarnation,
            BUDGET_PREFIX + workspace.workspace,
            TOKEN_SHARE_PPM,
            TOKEN_LOAN_TERM_MS,
        )
        with trio.move_on_after(BORROW_TIMEOUT_MS / 1000):
            for vm in self._select_lenders():
                granted = await self.request_loan(vm, request, BORROW_TIMEOUT_MS)
                if isinstance(granted, Ok) and granted.ok_value.tokens >= 1.0:
                    return True
        self.quota.start_borrow_backoff(workspace, self.clock())
        log_event("rate_not_borrowed", workspace=workspace.workspace)
        return False

    def _select_lenders(self) -> list[str]:
        near, far = self.lenders()
        ordered = [*self.random.sample(near, len(near)), *self.random.sample(far, len(far))]
        return ordered[:MAX_LENDERS_ASKED]
