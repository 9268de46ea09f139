"""Protocols that the allotment slice requires from the rest of the VM."""

from collections.abc import Sequence
from typing import Protocol

from result import Result

from wagtailbay.allotment.models import BorrowFailed
from wagtailbay.membership import LoanGrant, LoanRequest, Member


class FleetState(Protocol):
    """Provides this VM's knowledge of itself and of the other VMs."""

    def is_holder(self, now_s: float) -> bool:
        """Return whether this VM holds the control lease."""

    def is_isolated(self, now_s: float) -> bool:
        """Return whether this VM must use only its floor.

        A VM is isolated from 20 s after its last exchange or store answer. It is also isolated
        after its loop stalls for more than 5 s, until the next exchange. The result is computed
        from now_s on each call, because after a stall other tasks may run before a watchdog task.

        Only calls that this VM sent after the stall count as exchanges, once their answers are
        applied to the replica: such an answer contains every ledger that the other VM knows.
        Incoming calls do not count, since the sender may not know which objects this VM lacks. A
        store answer counts from the time of its request, and only once it is applied to the
        replica.
        """

    def members(self) -> Sequence[Member]:
        """Return the latest known state of every VM, including this one."""

    def last_heard_s(self, vm: str) -> float | None:
        """Return when new information about a VM last arrived, directly or through peers."""

    def neighbours(self) -> Sequence[str]:
        """Return the VMs that this VM may ask for loans, nearest first."""


class LoanClient(Protocol):
    """Sends loan requests to other VMs."""

    async def borrow(
        self, vm: str, request: LoanRequest, timeout_ms: int
    ) -> Result[LoanGrant, BorrowFailed]:
        """Request a loan from a VM."""
