"""Calls to the owners of rates, also to those that know single loans only."""

from collections.abc import Callable
from typing import Protocol

import trio
from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.membership import (
    LoanGrant,
    LoanRequest,
    PeerError,
    PeerFailure,
    TokenDemand,
    TokenGrant,
    TokenGrants,
    TokenRequests,
)
from wagtailbay.membership.loans import TOKEN_LOAN_TERM_MS
from wagtailbay.quota.const import BUDGET_PREFIX, SINGLE_CALLS_S, TOKEN_SHARE_PPM
from wagtailbay.quota.models import NOT_THE_OWNER


class TokenClient(Protocol):
    """Calls peers by the name of their VM."""

    async def request_tokens(
        self, vm: str, requests: TokenRequests, timeout_ms: int
    ) -> Result[TokenGrants, PeerError]:
        """Request tokens of several workspaces in one call."""

    async def borrow(
        self, vm: str, request: LoanRequest, timeout_ms: int
    ) -> Result[LoanGrant, PeerError]:
        """Request a loan."""


@define
class TokenCaller:
    """Requests tokens in one call, or in a call for each workspace from a peer without batches.

    Attributes:
        single_until_s: Until when only single calls are made to a peer.
    """

    client: TokenClient
    clock: Callable[[], float]
    single_until_s: dict[str, float] = field(factory=dict)

    async def request(
        self, owner: str, requests: TokenRequests, timeout_ms: int
    ) -> Result[TokenGrants, PeerError]:
        """Request the tokens of all demands."""
        if self.clock() >= self.single_until_s.get(owner, float("-inf")):
            answer = await self.client.request_tokens(owner, requests, timeout_ms)
            if isinstance(answer, Ok) or answer.err_value.kind is not PeerFailure.UNIMPLEMENTED:
                return answer
            now_s = self.clock()
            self.single_until_s = {
                vm: until_s for vm, until_s in self.single_until_s.items() if until_s > now_s
            }
            self.single_until_s[owner] = now_s + SINGLE_CALLS_S
        return await self._request_singly(owner, requests, timeout_ms)

    async def _request_singly(
        self, owner: str, requests: TokenRequests, timeout_ms: int
    ) -> Result[TokenGrants, PeerError]:
        answers: dict[str, Result[LoanGrant, PeerError]] = {}

        async def borrow(demand: TokenDemand) -> None:
            request = LoanRequest(
                requests.borrower,
                requests.incarnation,
                BUDGET_PREFIX + demand.workspace,
                TOKEN_SHARE_PPM,
                TOKEN_LOAN_TERM_MS,
                tokens=demand.tokens,
            )
            answers[demand.workspace] = await self.client.borrow(owner, request, timeout_ms)

        # Such a peer grants no spare tokens. One call is made in any case, to hear from it.
        asked = [demand for demand in requests.demands if demand.tokens] or requests.demands[:1]
        async with trio.open_nursery() as nursery:
            for demand in asked:
                nursery.start_soon(borrow, demand)
        errors = [answer for answer in answers.values() if isinstance(answer, Err)]
        if errors and len(errors) == len(answers):
            return errors[0]
        grants = (
            (
                _from_loan(demand, answers[demand.workspace])
                if demand.workspace in answers
                else TokenGrant(0, 0.0)
            )
            for demand in requests.demands
        )
        return Ok(TokenGrants(tuple(grants), is_tracked=False))


def _from_loan(demand: TokenDemand, answer: Result[LoanGrant, PeerError]) -> TokenGrant:
    if isinstance(answer, Err) or not answer.ok_value.share_ppm:
        return NOT_THE_OWNER
    loan = answer.ok_value
    return TokenGrant(min(demand.tokens, int(loan.tokens)), loan.wait_ms)
