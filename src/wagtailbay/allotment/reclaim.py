"""Determine when the share of an ended VM may be granted to others."""

from collections.abc import Mapping

from attrs import define, field, frozen

from wagtailbay.allotment.const import RECLAIM_ENDED_DELAY_S, RECLAIM_UNLISTED_DELAY_S
from wagtailbay.allotment.models import Ledger, Safeguards, VmIncarnation
from wagtailbay.membership import Member, VmState


@frozen
class FleetSnapshot:
    """Known state of the fleet's VMs at the start of a planning round.

    Attributes:
        members: Membership entry of each VM, by name.
        last_contact_s: When new information about each VM last arrived.
        listed_vms: VMs on the platform's list, None if the list could not be read.
        applied_versions: Ledger version that each VM complies with, by group.
    """

    members: Mapping[str, Member]
    last_contact_s: Mapping[str, float | None]
    listed_vms: frozenset[str] | None
    applied_versions: Mapping[str, Mapping[VmIncarnation, int]]

    def has_ended(self, holder: VmIncarnation) -> bool:
        """Return whether the VM has left or has been replaced by a newer incarnation."""
        member = self.members.get(holder.vm)
        if member is None:
            return False
        if member.identity.incarnation > holder.incarnation:
            return True
        return member.identity.incarnation == holder.incarnation and member.state is VmState.LEFT

    def is_unlisted(self, holder: VmIncarnation) -> bool:
        """Return whether the platform's list was read and does not contain the VM."""
        return self.listed_vms is not None and holder.vm not in self.listed_vms

    def contact_age_s(self, vm: str, now_s: float) -> float:
        """Return the time since new information about a VM last arrived."""
        last_contact_s = self.last_contact_s.get(vm)
        return float("inf") if last_contact_s is None else now_s - last_contact_s


@define
class ReclaimTracker:
    """Tracks how long it has been certain that VMs no longer use their shares.

    A VM that left or was replaced by a newer incarnation has ended, but its loans may last for
    one more term. A VM that is merely missing from the platform's list may still be running. Its
    grant is first lowered to zero, and its share is released 30 s after every listed VM has
    confirmed that version. From then on, any exchange delivers the decrease to the VM; without an
    exchange, it has been limited to its floor since 20 s after its last contact.

    Attributes:
        ended_since_s: When this VM learned that an incarnation had ended.
        zero_grant_versions: First version read that grants an incarnation nothing, by group and
            incarnation.
        confirmed_since_s: Since when all listed VMs have confirmed that version.
    """

    safeguards: Safeguards = field(factory=Safeguards)
    ended_since_s: dict[VmIncarnation, float] = field(factory=dict)
    zero_grant_versions: dict[tuple[str, VmIncarnation], int] = field(factory=dict)
    confirmed_since_s: dict[tuple[str, VmIncarnation], float] = field(factory=dict)

    def release_times(
        self, group: str, ledger: Ledger, version: int, snapshot: FleetSnapshot, now_s: float
    ) -> dict[VmIncarnation, float]:
        """Return when the share of each ended VM in a group may be granted to others."""
        times = {}
        for holder in {holder for grants in ledger.budgets.values() for holder in grants}:
            if snapshot.has_ended(holder):
                wait_s = RECLAIM_ENDED_DELAY_S if self.safeguards.await_ended_loans else 0.0
                times[holder] = self.ended_since_s.setdefault(holder, now_s) + wait_s
            elif self._is_confirmed_unlisted(group, ledger, version, holder, snapshot, now_s):
                key = (group, holder)
                times[holder] = (
                    self.confirmed_since_s.setdefault(key, now_s) + RECLAIM_UNLISTED_DELAY_S
                )
            else:
                self.confirmed_since_s.pop((group, holder), None)
        return times

    def _is_confirmed_unlisted(
        self,
        group: str,
        ledger: Ledger,
        version: int,
        holder: VmIncarnation,
        snapshot: FleetSnapshot,
        now_s: float,
    ) -> bool:
        key = (group, holder)
        if any(ledger.grant(budget, holder).granted_ppm for budget in ledger.budgets):
            self.zero_grant_versions.pop(key, None)
            return False
        zero_grant_version = self.zero_grant_versions.setdefault(key, version)
        if not snapshot.is_unlisted(holder):
            return False
        if snapshot.contact_age_s(holder.vm, now_s) < RECLAIM_UNLISTED_DELAY_S:
            return False
        applied_versions = snapshot.applied_versions.get(group, {})
        listed_members = (snapshot.members.get(vm) for vm in snapshot.listed_vms or ())
        return all(
            member is not None
            and applied_versions.get(
                VmIncarnation(member.identity.vm, member.identity.incarnation), -1
            )
            >= zero_grant_version
            for member in listed_members
        )
