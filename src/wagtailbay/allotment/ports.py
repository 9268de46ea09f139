"""Describe what the allotment slice needs from the rest of the VM."""

from collections.abc import Sequence
from typing import Protocol

from result import Result

from wagtailbay.allotment.models import BorrowFailed
from wagtailbay.membership import LoanGrant, LoanRequest, Member


class FleetState(Protocol):
    """Tell what this VM knows of itself and the other VMs."""

    def is_holder(self, now_s: float) -> bool:
        """Tell whether this VM holds the lease on control duties."""

    def is_isolated(self, now_s: float) -> bool:
        """Tell whether this VM must keep to its floor.

        It is true from 20 s after the last exchange or store answer, and after the own loop has
        stopped for over 5 s until an exchange. It is computed from now_s at the call, because
        after a stop other tasks may run before any that watches.

        An exchange is a call that this VM sent after the stop and whose answer is in the replica:
        it has brought every ledger that the other VM knows. A call received from another VM does
        not count, since its sender may not know which entries this VM lacks. A store answer
        counts from when it was asked for, and only if it is in the replica.
        """

    def members(self) -> Sequence[Member]:
        """Return the newest known state of every VM, this one included."""

    def last_heard_s(self, vm: str) -> float | None:
        """Return when anything new of a VM arrived, directly or through others."""

    def neighbours(self) -> Sequence[str]:
        """Return the VMs that this one may ask for loans, nearest first."""


class LoanClient(Protocol):
    """Carry loan requests to other VMs."""

    async def borrow(
        self, vm: str, request: LoanRequest, timeout_ms: int
    ) -> Result[LoanGrant, BorrowFailed]:
        """Ask a VM for a loan."""
