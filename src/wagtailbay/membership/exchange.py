"""Build and take in the messages that VMs exchange."""

from collections.abc import Callable

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.membership.choice import leads_pair
from wagtailbay.membership.const import (
    CONTACTS_INTERVAL_S,
    FORGET_AFTER_S,
    UNHEARD_INDIRECTLY_AFTER_S,
    UNHURRIED_PREFIXES,
)
from wagtailbay.membership.facts import FactTable
from wagtailbay.membership.isolation import IsolationCheck
from wagtailbay.membership.layout import FleetLayout
from wagtailbay.membership.messages import Contact, EntryBatch, ExchangeMessage
from wagtailbay.membership.models import Member
from wagtailbay.membership.quorum import READY_STATES, Quorum
from wagtailbay.membership.record import PeerRecord
from wagtailbay.membership.roster import Roster
from wagtailbay.replica import Freshness, Replica, StoreReader


@define
class Exchanger:
    """Keep this VM's state equal with its peers', message by message.

    Attributes:
        pushes: Tells whether this VM sends objects to peers that may have them from another VM.
            The others first hear by a peer's digest that it lacks something.
        layout: How the fleet is divided, as the set of neighbours follows it.
        dates_calls: Test-only switch; False takes a peer's call for as new as its arrival.
    """

    roster: Roster
    facts: FactTable
    replica: Replica
    freshness: Freshness
    reader: StoreReader
    quorum: Quorum
    isolation: IsolationCheck
    records: dict[str, PeerRecord] = field(factory=dict)
    pushes: Callable[[], bool] = lambda: True
    layout: FleetLayout = field(factory=lambda: FleetLayout({}, {}))
    dates_calls: bool = True

    def build(self, vm: str, now_s: float, *, answers: bool = False) -> ExchangeMessage:
        """Return the message for a peer, to call it or to answer its call."""
        record = self.records.setdefault(vm, PeerRecord())
        members_through = self.roster.position
        batch = self._batch_for(record, answers)
        skipped = not batch.whole and not batch.revision
        return ExchangeMessage(
            sender=self.roster.own_member,
            replica_revision=self.replica.revision,
            confirmed_age_ms=self.freshness.age_ms(now_s),
            store_reachable=self.reader.reachable,
            batch=batch,
            facts=self.facts.batch_after(record.facts_sent, now_s),
            facts_seen=record.facts_received,
            facts_seen_incarnation=record.incarnation,
            members=self._members_for(vm, record, now_s),
            contacts=self._contacts_for(vm, now_s),
            members_through=members_through,
            replica_from=record.replica_sent,
            replica_through=0 if skipped else self.replica.position,
            replica_seen=record.replica_received,
            replica_digest=self.replica.digest,
            mark_ms=record.give_mark(now_s, members_through) if answers else None,
            echo=None if answers else record.echo(now_s),
        )

    def _batch_for(self, record: PeerRecord, answers: bool) -> EntryBatch:
        """Return what a peer lacks, without the objects that it has confirmed."""
        own, revision = self.replica.revision, record.revision
        if record.replica_digest == self.replica.digest:
            return EntryBatch(revision, own, False, ())
        heard_since = record.replica_heard == self.replica.position
        if not answers and not heard_since and not self.pushes():
            return EntryBatch(0, 0, False, ())
        if revision < self.replica.deletions_since and revision < own:
            return EntryBatch(0, own, True, self.replica.existing())
        # Objects may be known from beyond the revision up to which all are.
        newer = self.replica.delta_since(revision)
        positions, sent = self.replica.positions, record.replica_sent
        lacking = tuple(stored for stored in newer if positions.get(stored.key, 0) > sent)
        return EntryBatch(revision, own, False, lacking)

    def _members_for(self, vm: str, record: PeerRecord, now_s: float) -> tuple[Member, ...]:
        """Return the members that changed, and now and then those heard directly."""
        chosen = {m.identity.vm: m for m in self.roster.changed_after(record.members_sent)}
        if not self.layout.is_divided and now_s - record.contacts_s >= CONTACTS_INTERVAL_S:
            record.contacts_s = now_s
            # Every VM heard directly has a record.
            known = (self.roster.members.get(name) for name in self.records)
            chosen |= {m.identity.vm: m for m in known if m and _is_heard(m, now_s)}
        chosen.pop(vm, None)
        return tuple(chosen.values())

    def _contacts_for(self, vm: str, now_s: float) -> tuple[Contact, ...]:
        """Return when the VMs were heard that a peer does not hear itself.

        A delegate tells the VMs of its cell of all others, and the delegates of other cells of its
        own cell.
        """
        layout, own = self.layout, self.roster.own.vm
        if not layout.is_delegate(own):
            return ()
        cells = layout.cell_by_vm
        is_mate = cells.get(vm) == cells.get(own)
        told = []
        for name, member in self.roster.members.items():
            if name in (own, vm) or member.contact_s is None:
                continue
            if not is_mate and cells.get(name) != cells.get(own):
                continue
            if now_s - member.contact_s < UNHEARD_INDIRECTLY_AFTER_S:
                told.append(Contact(name, member.identity.incarnation, member.contact_s))
        return tuple(told)

    def note_answered(self, vm: str, sent: ExchangeMessage) -> None:
        """Record that a peer has answered a call and so received its message."""
        record = self.records.setdefault(vm, PeerRecord())
        # Before a peer's first answer its incarnation is unknown, and all members are sent.
        if sent.facts_seen_incarnation in (0, record.incarnation):
            record.members_sent = max(record.members_sent, sent.members_through)

    def note_lost(self, vm: str) -> None:
        """Record that a message to a peer may not have arrived."""
        self.records.setdefault(vm, PeerRecord()).contacts_s = float("-inf")

    def take_in(
        self, message: ExchangeMessage, now_s: float, asked_s: float | None = None
    ) -> Result[None, str]:
        """Take in a peer's message.

        Args:
            asked_s: When the call was sent that this message answers; None for a call from the
                peer. A call may have waited for any time while this process was stopped, so it
                confirms knowledge and counts as contact only from the moment that its echo proves.

        Returns:
            An error for a message from an older run of the peer or from a namesake.
        """
        sender = message.sender.identity
        if not self.roster.hear(message.sender, now_s if asked_s is None else asked_s):
            return Err(f"{sender.vm} incarnation {sender.incarnation} is not the newest run")
        record = self._record_for(message)
        proved_s = asked_s if asked_s is not None else self._proof_s(record, message, now_s)
        self._take_objects(record, message)
        record.revision = max(record.revision, message.replica_revision)
        record.store_reachable = message.store_reachable
        if message.facts.from_position <= record.facts_received:
            record.facts_received = max(record.facts_received, message.facts.through_position)
        self.facts.merge(message.facts.facts)
        if message.facts_seen_incarnation == self.roster.own.incarnation:
            record.facts_sent = max(record.facts_sent, message.facts_seen)
            record.replica_sent = max(record.replica_sent, message.replica_seen)
            self._note_heard(record.note_echo(message.echo), now_s)
        self.roster.note_contacts(message.contacts)
        fresh = (m for m in message.members if now_s - (m.contact_s or 0.0) < FORGET_AFTER_S)
        self.roster.merge(fresh)
        if asked_s is not None and message.mark_ms is not None:
            record.mark_ms, record.marked_s = message.mark_ms, now_s
        if proved_s is not None:
            if asked_s is None:
                record.called_s = max(record.called_s, proved_s)
            else:
                self.isolation.record_exchange(asked_s, now_s)
            self._note_proof(message, proved_s)
        return Ok(None)

    def _take_objects(self, record: PeerRecord, message: ExchangeMessage) -> None:
        """Take in the objects of a message and note what the peer holds."""
        caught_up = record.replica_sent >= self.replica.position
        self._apply_batch(message.batch)
        if caught_up:
            # What came from the peer itself need not be sent back.
            record.replica_sent = self.replica.position
        record.replica_digest = message.replica_digest
        record.replica_heard = self.replica.position
        if message.replica_from <= record.replica_received:
            record.replica_received = max(record.replica_received, message.replica_through)

    def _note_heard(self, heard_s: float | None, now_s: float) -> None:
        """Keep this VM from isolation while a peer that calls it receives its answers.

        The moment is one from which on the peer counts this VM as heard, so that no share is
        reclaimed from a VM that still uses it. Only the answer to an own call ends an isolation.
        """
        if heard_s is not None:
            self.isolation.record_contact(heard_s, now_s)

    def _proof_s(self, record: PeerRecord, message: ExchangeMessage, now_s: float) -> float | None:
        """Return a moment after which a peer's call was built, None if it proves none."""
        if message.facts_seen_incarnation != self.roster.own.incarnation:
            return None
        proved_s = record.proof_s(message.echo, now_s)
        return now_s if proved_s is not None and not self.dates_calls else proved_s

    def _record_for(self, message: ExchangeMessage) -> PeerRecord:
        """Return the sender's record, a new one if the sender has started again."""
        sender = message.sender.identity
        record = self.records.setdefault(sender.vm, PeerRecord())
        if record.incarnation != sender.incarnation:
            record = self.records[sender.vm] = PeerRecord(incarnation=sender.incarnation)
        return record

    def _apply_batch(self, batch: EntryBatch) -> None:
        if batch.whole and batch.revision >= self.replica.revision:
            self.replica.replace(batch.objects, batch.revision)
            return
        complete = batch.since_revision <= self.replica.revision
        revision = batch.revision if complete and not batch.whole else self.replica.revision
        self.replica.apply(batch.objects, revision)

    def _note_proof(self, message: ExchangeMessage, proved_s: float) -> None:
        """Count a message built after a moment, as the answer to a call sent then."""
        identity = message.sender.identity
        if self.replica.revision < message.replica_revision:
            return
        # A VM that is not ready may lack what the others hold, also shortly after it becomes so.
        if message.sender.state in READY_STATES:
            self.quorum.record(identity.vm, identity.incarnation, proved_s)
        if message.confirmed_age_ms is not None:
            self.freshness.confirm(proved_s, message.confirmed_age_ms)

    def has_urgent(self, vm: str) -> bool:
        """Tell whether the peer lacks an entry that must reach it at once."""
        record = self.records.get(vm)
        if record is None:
            return True
        if record.replica_sent >= self.replica.position or not self.pushes():
            return False
        return any(
            not stored.key.startswith(UNHURRIED_PREFIXES)
            for key, stored in self.replica.objects.items()
            if stored.version > record.revision
            and self.replica.positions.get(key, 0) > record.replica_sent
        )

    def rest_s(self, vm: str, now_s: float) -> float:
        """Return how long a peer need not be called, because it calls this VM; 0 or less if not."""
        record = self.records.get(vm)
        if record is None or leads_pair(self.roster.own.vm, vm):
            return 0.0
        if self.isolation.is_isolated(now_s):
            return 0.0
        return record.rest_s(now_s)

    def forget(self, now_s: float) -> None:
        """Drop expired facts, VMs unheard for long, and the records of dropped VMs."""
        self.facts.expire(now_s)
        self.roster.forget(now_s)
        for vm in tuple(self.records):
            if vm not in self.roster.members:
                del self.records[vm]


def _is_heard(member: Member, now_s: float) -> bool:
    return member.heard_s is not None and now_s - member.heard_s < CONTACTS_INTERVAL_S
