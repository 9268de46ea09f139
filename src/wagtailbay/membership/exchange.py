"""Build and take in the messages that VMs exchange."""

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.membership.const import (
    CONTACTS_INTERVAL_S,
    FORGET_AFTER_S,
    UNHURRIED_PREFIXES,
)
from wagtailbay.membership.facts import FactTable
from wagtailbay.membership.isolation import IsolationCheck
from wagtailbay.membership.messages import EntryBatch, ExchangeMessage
from wagtailbay.membership.models import Member
from wagtailbay.membership.quorum import READY_STATES, Quorum
from wagtailbay.membership.roster import Roster
from wagtailbay.replica import Freshness, Replica, StoreReader


@define
class PeerRecord:
    """Hold what one peer has and what was received from it.

    Attributes:
        incarnation: The run of the peer that the other fields belong to.
        revision: The peer's replica is at least here.
        facts_received: This VM holds the peer's facts up to this position.
        facts_sent: The peer holds this VM's facts up to this position.
        members_sent: Incarnation and sequence of each member last told to the peer.
        contacts_s: When the contacts were last told to the peer.
    """

    incarnation: int = 0
    revision: int = 0
    facts_received: int = 0
    facts_sent: int = 0
    members_sent: dict[str, tuple[int, int]] = field(factory=dict)
    contacts_s: float = float("-inf")
    store_reachable: bool | None = None


@define
class Exchanger:
    """Keep this VM's state equal with its peers', message by message."""

    roster: Roster
    facts: FactTable
    replica: Replica
    freshness: Freshness
    reader: StoreReader
    quorum: Quorum
    isolation: IsolationCheck
    records: dict[str, PeerRecord] = field(factory=dict)

    def build(self, vm: str, now_s: float) -> ExchangeMessage:
        """Return the message for a peer, to send or to answer with."""
        record = self.records.setdefault(vm, PeerRecord())
        return ExchangeMessage(
            sender=self.roster.own_member,
            replica_revision=self.replica.revision,
            confirmed_age_ms=self.freshness.age_ms(now_s),
            store_reachable=self.reader.reachable,
            batch=self._batch_since(record.revision),
            facts=self.facts.batch_after(record.facts_sent, now_s),
            facts_seen=record.facts_received,
            facts_seen_incarnation=record.incarnation,
            members=self._members_for(vm, record, now_s),
        )

    def _batch_since(self, revision: int) -> EntryBatch:
        own = self.replica.revision
        if revision >= own:
            return EntryBatch(own, own, False, ())
        if revision >= self.replica.deletions_since:
            return EntryBatch(revision, own, False, self.replica.delta_since(revision))
        return EntryBatch(0, own, True, self.replica.existing())

    def _members_for(self, vm: str, record: PeerRecord, now_s: float) -> tuple[Member, ...]:
        """Return the members that changed, and now and then those heard directly."""
        repeat = now_s - record.contacts_s >= CONTACTS_INTERVAL_S
        if repeat:
            record.contacts_s = now_s
        chosen = []
        for name, member in self.roster.members.items():
            if name in (vm, self.roster.own.vm):
                continue
            version = (member.identity.incarnation, member.sequence)
            heard = member.heard_s is not None and now_s - member.heard_s < CONTACTS_INTERVAL_S
            if record.members_sent.get(name) != version or (repeat and heard):
                record.members_sent[name] = version
                chosen.append(member)
        return tuple(chosen)

    def note_lost(self, vm: str) -> None:
        """Record that a message to a peer may not have arrived."""
        record = self.records.setdefault(vm, PeerRecord())
        record.members_sent.clear()
        record.contacts_s = float("-inf")

    def take_in(
        self, message: ExchangeMessage, now_s: float, asked_s: float | None = None
    ) -> Result[None, str]:
        """Take in a peer's message.

        Args:
            asked_s: When the call was sent that this message answers; None for a call from the
                peer. Only answers confirm knowledge and count as contact, because a call may have
                waited for any time while this process was stopped.

        Returns:
            An error for a message from an older run of the peer or from a namesake.
        """
        sender = message.sender.identity
        if not self.roster.hear(message.sender, now_s if asked_s is None else asked_s):
            return Err(f"{sender.vm} incarnation {sender.incarnation} is not the newest run")
        record = self._record_for(message)
        self._apply_batch(message.batch)
        record.revision = max(record.revision, message.replica_revision)
        record.store_reachable = message.store_reachable
        if message.facts.from_position <= record.facts_received:
            record.facts_received = max(record.facts_received, message.facts.through_position)
        self.facts.merge(message.facts.facts)
        if message.facts_seen_incarnation == self.roster.own.incarnation:
            record.facts_sent = max(record.facts_sent, message.facts_seen)
        fresh = (m for m in message.members if now_s - (m.contact_s or 0.0) < FORGET_AFTER_S)
        self.roster.merge(fresh)
        if asked_s is not None:
            self._note_answer(message, asked_s, now_s)
        return Ok(None)

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

    def _note_answer(self, message: ExchangeMessage, asked_s: float, now_s: float) -> None:
        identity = message.sender.identity
        self.isolation.record_exchange(asked_s, now_s)
        if self.replica.revision < message.replica_revision:
            return
        # A VM that is not ready may lack what the others hold, also shortly after it becomes so.
        if message.sender.state in READY_STATES:
            self.quorum.record(identity.vm, identity.incarnation, asked_s)
        if message.confirmed_age_ms is not None:
            self.freshness.confirm(asked_s, message.confirmed_age_ms)

    def has_urgent(self, vm: str) -> bool:
        """Tell whether the peer lacks an entry that must reach it at once."""
        record = self.records.get(vm)
        if record is None:
            return True
        if record.revision >= self.replica.revision:
            return False
        return any(
            not stored.key.startswith(UNHURRIED_PREFIXES)
            for stored in self.replica.objects.values()
            if stored.version > record.revision
        )

    def forget(self, now_s: float) -> None:
        """Drop expired facts, VMs unheard for long, and the records of dropped VMs."""
        self.facts.expire(now_s)
        self.roster.forget(now_s)
        for vm in tuple(self.records):
            if vm not in self.roster.members:
                del self.records[vm]
