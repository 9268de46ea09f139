"""Judge when the share of an ended VM may be granted again."""

from collections.abc import Mapping

from attrs import define, field, frozen

from wagtailbay.allotment.const import RECLAIM_ABSENT_S, RECLAIM_ENDED_S
from wagtailbay.allotment.models import Holder, Ledger, Safeguards
from wagtailbay.membership import Member, VmState


@frozen
class Sightings:
    """Hold what is known of the fleet's VMs.

    Attributes:
        members: By VM name.
        heard_s: When anything new of a VM last arrived.
        listed: The VMs on the platform's list, None if it could not be read.
        applied: The ledger version to which each VM keeps, by group.
    """

    members: Mapping[str, Member]
    heard_s: Mapping[str, float | None]
    listed: frozenset[str] | None
    applied: Mapping[str, Mapping[Holder, int]]

    def has_ended(self, holder: Holder) -> bool:
        """Tell whether a newer run of the VM is known or this one has left."""
        member = self.members.get(holder.vm)
        if member is None:
            return False
        if member.identity.incarnation > holder.incarnation:
            return True
        return member.identity.incarnation == holder.incarnation and member.state is VmState.LEFT

    def is_absent(self, holder: Holder) -> bool:
        """Tell whether the platform no longer lists the VM."""
        return self.listed is not None and holder.vm not in self.listed

    def silent_s(self, vm: str, now_s: float) -> float:
        """Return the time since anything new of a VM arrived."""
        heard_s = self.heard_s.get(vm)
        return float("inf") if heard_s is None else now_s - heard_s


@define
class ReclaimWatch:
    """Time the evidence that a VM's process no longer uses its share.

    A newer run or a VM that left is certain to have ended; its loans may run for one more term.
    A VM that is only absent from the platform's list may be a process that still runs: its grant
    is first written down to nothing, and its share is free 30 s after every listed VM has
    confirmed that version. From then on an exchange brings it the decrease, and without one it
    has kept to its floor since 20 s.

    Attributes:
        ended_s: When this VM first knew that a run had ended.
        emptied: The first version read in which a run was granted nothing, by group and run.
        confirmed_s: Since when all listed VMs have confirmed that version.
    """

    safeguards: Safeguards = field(factory=Safeguards)
    ended_s: dict[Holder, float] = field(factory=dict)
    emptied: dict[tuple[str, Holder], int] = field(factory=dict)
    confirmed_s: dict[tuple[str, Holder], float] = field(factory=dict)

    def release_times(
        self, group: str, ledger: Ledger, version: int, sightings: Sightings, now_s: float
    ) -> dict[Holder, float]:
        """Return from when the share of each ended VM in a group may be granted again."""
        times = {}
        for holder in {h for division in ledger.budgets.values() for h in division}:
            if sightings.has_ended(holder):
                wait_s = RECLAIM_ENDED_S if self.safeguards.await_ended_loans else 0.0
                times[holder] = self.ended_s.setdefault(holder, now_s) + wait_s
            elif self._is_confirmed_absent(group, ledger, version, holder, sightings, now_s):
                key = (group, holder)
                times[holder] = self.confirmed_s.setdefault(key, now_s) + RECLAIM_ABSENT_S
            else:
                self.confirmed_s.pop((group, holder), None)
        return times

    def _is_confirmed_absent(
        self,
        group: str,
        ledger: Ledger,
        version: int,
        holder: Holder,
        sightings: Sightings,
        now_s: float,
    ) -> bool:
        key = (group, holder)
        if any(ledger.grant(budget, holder).granted_ppm for budget in ledger.budgets):
            self.emptied.pop(key, None)
            return False
        emptied_version = self.emptied.setdefault(key, version)
        if not sightings.is_absent(holder):
            return False
        if sightings.silent_s(holder.vm, now_s) < RECLAIM_ABSENT_S:
            return False
        applied = sightings.applied.get(group, {})
        others = (sightings.members.get(vm) for vm in sightings.listed or ())
        return all(
            member is not None
            and applied.get(Holder(member.identity.vm, member.identity.incarnation), -1)
            >= emptied_version
            for member in others
        )
