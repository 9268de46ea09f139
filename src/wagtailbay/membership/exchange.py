"""Build and apply the messages that VMs exchange."""

from collections.abc import Callable

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.logs import log_event
from wagtailbay.membership.const import (
    CONTACTS_INTERVAL_S,
    DELEGATE_FACT_KINDS,
    DIGESTS_BEFORE_SNAPSHOT,
    INDIRECT_CONTACT_TIMEOUT_S,
    MEMBER_RETENTION_S,
    NON_URGENT_PREFIXES,
    RENUMBER_WINDOW_S,
)
from wagtailbay.membership.facts import FactBatch, FactTable
from wagtailbay.membership.isolation import IsolationCheck
from wagtailbay.membership.layout import FleetLayout
from wagtailbay.membership.messages import Contact, EntryBatch, ExchangeMessage
from wagtailbay.membership.models import Member
from wagtailbay.membership.peer_sync import PeerSyncState
from wagtailbay.membership.quorum import READY_STATES, Quorum
from wagtailbay.membership.roster import Roster
from wagtailbay.membership.selection import is_call_initiator
from wagtailbay.replica import Freshness, Replica, StoreReader


@define
class Exchanger:
    """Replicate store objects, facts and the roster with peers.

    Attributes:
        pushes_objects: Returns whether this VM sends new objects to a peer that may get them from
            another VM. Otherwise it waits until the peer's digest shows that it lacks some.
        is_same_region: Returns whether a peer is in the region of this VM.
        layout: The division of the fleet into cells from which the neighbours were chosen.
        may_renumber: Whether this run takes a higher number if a peer knows a newer one. Runs are
            numbered by the time of day of their start, which may have gone back meanwhile.
        accepted_since_s: When a peer first answered this run, None before.
        validates_call_age: Test-only switch; False treats a call as if it was built on arrival.
    """

    roster: Roster
    facts: FactTable
    replica: Replica
    freshness: Freshness
    reader: StoreReader
    quorum: Quorum
    isolation: IsolationCheck
    peer_states: dict[str, PeerSyncState] = field(factory=dict)
    pushes_objects: Callable[[], bool] = lambda: True
    is_same_region: Callable[[str], bool] = lambda vm: True
    layout: FleetLayout = field(factory=lambda: FleetLayout({}, {}))
    may_renumber: bool = False
    accepted_since_s: float | None = None
    validates_call_age: bool = True

    def build_message(self, vm: str, now_s: float, *, is_answer: bool = False) -> ExchangeMessage:
        """Return the message with which to call a peer or to answer its call."""
        peer = self.peer_states.setdefault(vm, PeerSyncState())
        members_through = self.roster.position
        batch = self._batch_for(peer, is_answer)
        skipped = not batch.whole and not batch.revision
        return ExchangeMessage(
            sender=self.roster.own_member,
            replica_revision=self.replica.revision,
            confirmed_age_ms=self.freshness.age_ms(now_s),
            store_reachable=not self.reader.contact.is_failing,
            batch=batch,
            facts=self._facts_for(vm, peer, now_s),
            facts_seen=peer.facts_received,
            facts_seen_incarnation=peer.incarnation,
            members=self._members_for(vm, peer, now_s),
            contacts=self._contacts_for(vm, now_s),
            members_through=members_through,
            replica_from=peer.replica_acked,
            replica_through=0 if skipped else self.replica.position,
            replica_seen=peer.replica_received,
            replica_digest=self.replica.digest,
            mark_ms=peer.issue_mark(now_s, members_through) if is_answer else None,
            echo=None if is_answer else peer.build_echo(now_s),
        )

    def _facts_for(self, vm: str, peer: PeerSyncState, now_s: float) -> FactBatch:
        """Return the facts that a peer lacks; one that becomes a delegate gets more kinds."""
        to_delegate = not self.layout.is_divided or self.layout.is_delegate(vm)
        if to_delegate and peer.gets_delegate_facts is False:
            self.facts.send_again(DELEGATE_FACT_KINDS)
        peer.gets_delegate_facts = to_delegate
        return self.facts.batch_after(
            peer.facts_acked,
            now_s,
            same_region=self.is_same_region(vm),
            to_delegate=to_delegate,
        )

    def _batch_for(self, peer: PeerSyncState, is_answer: bool) -> EntryBatch:
        """Return the objects that a peer lacks, without those that it has acknowledged."""
        own, revision = self.replica.revision, peer.revision
        # A digest returns to an earlier value when a new object is deleted again.
        unchanged_since_digest = peer.digest_position == self.replica.position
        if unchanged_since_digest and peer.replica_digest == self.replica.digest:
            peer.unexplained_digests = 0
            return EntryBatch(revision, own, False, ())
        if not is_answer and not unchanged_since_digest and not self.pushes_objects():
            return EntryBatch(0, 0, False, ())
        if revision < self.replica.deletions_since and revision < own:
            return EntryBatch(0, own, True, self.replica.existing_objects())
        # A peer may already have single objects newer than the revision up to which it has all.
        newer = self.replica.delta_since(revision)
        positions, sent = self.replica.positions, peer.replica_acked
        lacking = tuple(stored for stored in newer if positions.get(stored.key, 0) > sent)
        if not lacking and unchanged_since_digest and self._has_missed_deletion(peer):
            return EntryBatch(0, own, True, self.replica.existing_objects())
        return EntryBatch(revision, own, False, lacking)

    def _has_missed_deletion(self, peer: PeerSyncState) -> bool:
        """Return whether a peer has all objects of this VM and keeps stating another digest.

        It then has an object that was deleted before this VM knew it, for example because this VM
        has restarted since. Digests also differ while changes are under way.
        """
        if peer.replica_acked < self.replica.position or peer.revision > self.replica.revision:
            return False
        peer.unexplained_digests += 1
        return peer.unexplained_digests % DIGESTS_BEFORE_SNAPSHOT == 0

    def _members_for(self, vm: str, peer: PeerSyncState, now_s: float) -> tuple[Member, ...]:
        """Return the changed members and, every CONTACTS_INTERVAL_S, those in direct contact.

        The latter are sent in an undivided fleet only.
        """
        chosen = {m.identity.vm: m for m in self.roster.changed_after(peer.members_acked)}
        if not self.layout.is_divided and now_s - peer.contacts_sent_s >= CONTACTS_INTERVAL_S:
            peer.contacts_sent_s = now_s
            # Every VM with direct contact has an entry in peer_states.
            known = (self.roster.members.get(name) for name in self.peer_states)
            chosen |= {m.identity.vm: m for m in known if m and _has_direct_contact(m, now_s)}
        chosen.pop(vm, None)
        return tuple(chosen.values())

    def _contacts_for(self, vm: str, now_s: float) -> tuple[Contact, ...]:
        """Return the contact times of VMs with which a peer has no direct contact.

        A delegate sends the contacts of all VMs to the VMs of its cell, and the contacts of its
        cell to the delegates of other cells.
        """
        layout, own = self.layout, self.roster.own.vm
        if not layout.is_delegate(own):
            return ()
        cells = layout.cell_by_vm
        same_cell = cells.get(vm) == cells.get(own)
        contacts = []
        for name, member in self.roster.members.items():
            if name in (own, vm) or member.contact_s is None:
                continue
            if not same_cell and cells.get(name) != cells.get(own):
                continue
            if now_s - member.contact_s < INDIRECT_CONTACT_TIMEOUT_S:
                contacts.append(Contact(name, member.identity.incarnation, member.contact_s))
        return tuple(contacts)

    def is_store_failing(self, vm: str) -> bool:
        """Return whether the last store call of a VM failed, as far as this VM knows."""
        if vm == self.roster.own.vm:
            return self.reader.contact.is_failing
        peer = self.peer_states.get(vm)
        return peer is not None and peer.store_reachable is False

    def store_answered_s(self, now_s: float) -> float:
        """Return until when the store is taken to have answered.

        That is the present time unless this VM or a peer says that its calls fail, and then the
        time at which the replica was last known to match the store; minus infinity if never.
        """
        is_failing = self.reader.contact.is_failing or any(
            peer.store_reachable is False for peer in self.peer_states.values()
        )
        if not is_failing:
            return now_s
        confirmed_s = self.freshness.confirmed_s
        return float("-inf") if confirmed_s is None else confirmed_s

    def record_answered_call(self, vm: str, sent: ExchangeMessage, now_s: float) -> None:
        """Record that a peer has answered a call, which proves that it received the message."""
        if self.accepted_since_s is None:
            self.accepted_since_s = now_s
        peer = self.peer_states.setdefault(vm, PeerSyncState())
        # 0 stands for a peer that has not answered yet; all members are sent to it.
        if sent.facts_seen_incarnation in (0, peer.incarnation):
            peer.members_acked = max(peer.members_acked, sent.members_through)

    def record_failed_call(self, vm: str) -> None:
        """Record that a call to a peer may not have arrived; its contacts are sent again."""
        self.peer_states.setdefault(vm, PeerSyncState()).contacts_sent_s = float("-inf")

    def record_newer_run(self, incarnation: int, now_s: float) -> None:
        """Take a higher number than a run of this VM that a peer knows, if this one is newer."""
        own = self.roster.own
        since_s = now_s if self.accepted_since_s is None else self.accepted_since_s
        is_newer = now_s - since_s < RENUMBER_WINDOW_S
        if not self.may_renumber or not is_newer or incarnation <= own.incarnation:
            return
        log_event("run_renumbered", previous=own.incarnation, incarnation=incarnation + 1)
        self.facts.renumber(incarnation + 1)
        self.roster.renumber(incarnation + 1)

    def apply_message(
        self, message: ExchangeMessage, now_s: float, call_sent_s: float | None = None
    ) -> Result[None, str]:
        """Apply a peer's message to this VM's state.

        Args:
            call_sent_s: When this VM sent the call that the message answers; None for a call from
                the peer. A call may have waited for any time while this process was stopped, so it
                confirms the replica and counts as contact only as of the time its echo proves.

        Returns:
            An error if the roster rejects the sender: an older incarnation, a process with this
            VM's name, or a new VM when the roster is full.
        """
        sender = message.sender.identity
        if not self.roster.record_message(
            message.sender, now_s if call_sent_s is None else call_sent_s
        ):
            return Err(f"{sender.vm} incarnation {sender.incarnation} is not the newest run")
        peer = self._peer_for(message)
        proven_s = (
            call_sent_s if call_sent_s is not None else self._proven_call_s(peer, message, now_s)
        )
        self._apply_objects(peer, message)
        peer.revision = max(peer.revision, message.replica_revision)
        peer.store_reachable = message.store_reachable
        if message.facts.from_position <= peer.facts_received:
            peer.facts_received = max(peer.facts_received, message.facts.through_position)
        self.facts.merge(message.facts.facts)
        if message.facts_seen_incarnation == self.roster.own.incarnation:
            peer.facts_acked = max(peer.facts_acked, message.facts_seen)
            peer.replica_acked = max(peer.replica_acked, message.replica_seen)
            self._record_peer_contact(peer.acknowledge_echo(message.echo), now_s)
        self.roster.merge_contacts(message.contacts)
        fresh = (m for m in message.members if now_s - (m.contact_s or 0.0) < MEMBER_RETENTION_S)
        self.roster.merge(fresh)
        if call_sent_s is not None and message.mark_ms is not None:
            peer.mark_ms, peer.mark_received_s = message.mark_ms, now_s
        if proven_s is not None:
            if call_sent_s is None:
                peer.last_call_s = max(peer.last_call_s, proven_s)
            else:
                self.isolation.record_exchange(call_sent_s, now_s)
            self._record_proven_contact(message, proven_s)
        return Ok(None)

    def _apply_objects(self, peer: PeerSyncState, message: ExchangeMessage) -> None:
        """Apply the objects of a message and record which objects the peer has."""
        had_all_objects = peer.replica_acked >= self.replica.position
        self._apply_batch(message.batch)
        if had_all_objects:
            # Objects received from the peer need not be sent back to it.
            peer.replica_acked = self.replica.position
        peer.replica_digest = message.replica_digest
        peer.digest_position = self.replica.position
        if message.replica_from <= peer.replica_received:
            peer.replica_received = max(peer.replica_received, message.replica_through)

    def _record_peer_contact(self, contacted_s: float | None, now_s: float) -> None:
        """Prevent isolation while a peer that calls this VM receives its answers.

        As of contacted_s the peer counts this VM as in contact, so that no share is reclaimed from
        a VM that still uses it. Only the answer to a call from this VM ends an isolation.
        """
        if contacted_s is not None:
            self.isolation.record_contact(contacted_s, now_s)

    def _proven_call_s(
        self, peer: PeerSyncState, message: ExchangeMessage, now_s: float
    ) -> float | None:
        """Return a time after which a peer's call was built, None if the call proves none."""
        if message.facts_seen_incarnation != self.roster.own.incarnation:
            return None
        proven_s = peer.proven_call_s(message.echo, now_s)
        return now_s if proven_s is not None and not self.validates_call_age else proven_s

    def _peer_for(self, message: ExchangeMessage) -> PeerSyncState:
        """Return the state kept for the sender, reset if the sender has restarted."""
        sender = message.sender.identity
        peer = self.peer_states.setdefault(sender.vm, PeerSyncState())
        if peer.incarnation != sender.incarnation:
            peer = self.peer_states[sender.vm] = PeerSyncState(incarnation=sender.incarnation)
        return peer

    def _apply_batch(self, batch: EntryBatch) -> None:
        if batch.whole and batch.revision >= self.replica.revision:
            self.replica.replace(batch.objects, batch.revision)
            return
        complete = batch.since_revision <= self.replica.revision
        revision = batch.revision if complete and not batch.whole else self.replica.revision
        self.replica.apply(batch.objects, revision)

    def _record_proven_contact(self, message: ExchangeMessage, proven_s: float) -> None:
        """Count a message that was built after proven_s for the quorum and freshness."""
        identity = message.sender.identity
        if self.replica.revision < message.replica_revision:
            return
        # A peer that is not ready may lack objects that other VMs have. The answers that it gave
        # before it was ready must not count afterwards either.
        if message.sender.state in READY_STATES:
            self.quorum.record_answer(identity.vm, identity.incarnation, proven_s)
        if message.confirmed_age_ms is not None:
            self.freshness.confirm(proven_s, message.confirmed_age_ms)

    def has_urgent_objects(self, vm: str) -> bool:
        """Return whether the peer lacks an object that must not wait for the next heartbeat."""
        peer = self.peer_states.get(vm)
        if peer is None:
            return True
        if peer.replica_acked >= self.replica.position or not self.pushes_objects():
            return False
        return any(
            not stored.key.startswith(NON_URGENT_PREFIXES)
            for key, stored in self.replica.objects.items()
            if stored.version > peer.revision
            and self.replica.positions.get(key, 0) > peer.replica_acked
        )

    def call_deferral_s(self, vm: str, now_s: float) -> float:
        """Return for how long a peer's calls replace calls to it; 0 or less to call it now."""
        peer = self.peer_states.get(vm)
        if peer is None or is_call_initiator(self.roster.own.vm, vm):
            return 0.0
        if self.isolation.is_isolated(now_s):
            return 0.0
        return peer.call_deferral_s(now_s)

    def remove_expired(self, now_s: float) -> None:
        """Remove expired facts, members without recent contact, and the state kept for them."""
        self.facts.expire(now_s)
        self.roster.remove_expired(now_s)
        for vm in tuple(self.peer_states):
            if vm not in self.roster.members:
                del self.peer_states[vm]


def _has_direct_contact(member: Member, now_s: float) -> bool:
    return (
        member.direct_contact_s is not None
        and now_s - member.direct_contact_s < CONTACTS_INTERVAL_S
    )
