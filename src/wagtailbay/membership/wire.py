"""Protobuf encoding of exchanges and loans; only this module and token_wire use protobuf."""

import json
from collections.abc import Iterable
from typing import Any

from google.protobuf.message import DecodeError
from result import Err, Ok, Result

from wagtailbay.capacity import VmCapacity
from wagtailbay.decoding import parse_json
from wagtailbay.logs import log_event
from wagtailbay.membership.codec import FactCodec
from wagtailbay.membership.const import (
    MAX_DELTA_BYTES,
    MAX_FACT_BYTES,
    MAX_FACT_TTL_MS,
    MAX_FACTS_BYTES,
    MAX_FACTS_PER_MESSAGE,
    MAX_GRANT_WAIT_MS,
    MAX_MEMBERS,
    MAX_SNAPSHOT_BYTES,
    MAX_TOKENS_REQUESTED,
)
from wagtailbay.membership.facts import Fact, FactBatch
from wagtailbay.membership.generated import peer_pb2
from wagtailbay.membership.loans import LoanGrant, LoanRequest
from wagtailbay.membership.messages import ClockEcho, Contact, EntryBatch, ExchangeMessage
from wagtailbay.membership.models import Member, VmIdentity, VmState
from wagtailbay.store import StoredObject


def encode_exchange(message: ExchangeMessage, codec: FactCodec, now_s: float) -> bytes:
    """Encode an exchange message; a batch or facts too large for it are truncated."""
    batch, batch_is_complete = _encode_batch(message.batch)
    encoded = peer_pb2.ExchangeMessage(
        sender=_encode_member(message.sender, now_s),
        replica_revision=message.replica_revision,
        store_reachable=message.store_reachable,
        batch=batch,
        facts_from=message.facts.from_position,
        facts_seen=message.facts_seen,
        facts_seen_incarnation=message.facts_seen_incarnation,
        replica_from=message.replica_from,
        replica_seen=message.replica_seen,
        replica_digest=message.replica_digest,
        members=(_encode_member(member, now_s) for member in message.members),
        contacts=(_encode_contact(contact, now_s) for contact in message.contacts),
    )
    if batch_is_complete:
        encoded.replica_through = message.replica_through
    encoded.facts_through = _add_facts(encoded, message.facts, codec, now_s)
    if message.confirmed_age_ms is not None:
        # Rounded up, so that the replica never counts as fresher than it is.
        encoded.confirmed_age_ms = int(message.confirmed_age_ms) + 1
    if message.mark_ms is not None:
        encoded.mark_ms = message.mark_ms
    if message.echo is not None:
        encoded.echo_mark_ms = message.echo.mark_ms
        encoded.echo_held_ms = message.echo.held_ms
    return encoded.SerializeToString()


def decode_exchange(data: bytes, codec: FactCodec, now_s: float) -> Result[ExchangeMessage, str]:
    """Decode an exchange message; malformed facts, members and objects are dropped."""
    encoded = peer_pb2.ExchangeMessage()
    try:
        encoded.ParseFromString(data)
        return Ok(_decode_message(encoded, codec, now_s))
    except DecodeError as error:
        return Err(str(error))
    except (ValueError, RecursionError) as error:
        return Err(f"{type(error).__name__}: {error}")


def _decode_message(encoded: Any, codec: FactCodec, now_s: float) -> ExchangeMessage:
    member_lists = (encoded.members, encoded.contacts)
    if len(encoded.facts) > MAX_FACTS_PER_MESSAGE or max(map(len, member_lists)) > MAX_MEMBERS:
        raise ValueError("too many facts or members")
    age_ms = encoded.confirmed_age_ms if encoded.HasField("confirmed_age_ms") else None
    echo = ClockEcho(encoded.echo_mark_ms, encoded.echo_held_ms) if encoded.echo_mark_ms else None
    facts = (_decode_fact(fact, codec, now_s) for fact in encoded.facts)
    return ExchangeMessage(
        sender=_decode_member(encoded.sender, now_s),
        replica_revision=encoded.replica_revision,
        confirmed_age_ms=None if age_ms is None else float(age_ms),
        store_reachable=encoded.store_reachable,
        batch=_decode_batch(encoded.batch),
        facts=FactBatch(
            tuple(fact for fact in facts if fact is not None),
            encoded.facts_from,
            encoded.facts_through,
        ),
        facts_seen=encoded.facts_seen,
        facts_seen_incarnation=encoded.facts_seen_incarnation,
        replica_from=encoded.replica_from,
        replica_through=encoded.replica_through,
        replica_seen=encoded.replica_seen,
        replica_digest=encoded.replica_digest,
        members=_decode_members(encoded.members, now_s),
        contacts=tuple(
            Contact(item.vm, item.incarnation, now_s - item.age_ms / 1000)
            for item in encoded.contacts
        ),
        mark_ms=encoded.mark_ms or None,
        echo=echo,
    )


def _encode_member(member: Member, now_s: float) -> Any:
    identity = member.identity
    contact_s = now_s if member.contact_s is None else member.contact_s
    return peer_pb2.VmMessage(
        vm=identity.vm,
        incarnation=identity.incarnation,
        address=identity.address,
        peer_address=identity.peer_address,
        availability_zone=identity.availability_zone,
        state=member.state.value,
        sequence=member.sequence,
        contact_age_ms=max(0, int((now_s - contact_s) * 1000)),
        cpu_millicores=round(identity.capacity.cpu_cores * 1000),
        link_kbps=round(identity.capacity.link_mbps * 1000),
    )


def _encode_contact(contact: Contact, now_s: float) -> Any:
    # Rounded up, so that a contact never counts as later than it was.
    age_ms = max(0, int((now_s - contact.contact_s) * 1000) + 1)
    return peer_pb2.Contact(vm=contact.vm, incarnation=contact.incarnation, age_ms=age_ms)


def _decode_member(encoded: Any, now_s: float) -> Member:
    if not encoded.vm or not encoded.incarnation:
        raise ValueError("a VM without name or incarnation")
    identity = VmIdentity(
        encoded.vm,
        encoded.incarnation,
        encoded.address,
        encoded.peer_address,
        encoded.availability_zone,
        VmCapacity(encoded.cpu_millicores / 1000, encoded.link_kbps / 1000),
    )
    contact_s = now_s - encoded.contact_age_ms / 1000
    return Member(identity, VmState(encoded.state), encoded.sequence, contact_s=contact_s)


def _decode_members(encoded: Iterable[Any], now_s: float) -> tuple[Member, ...]:
    members = []
    for item in encoded:
        try:
            members.append(_decode_member(item, now_s))
        except ValueError as error:
            log_event("member_dropped", vm=item.vm[:80], reason=str(error)[:200])
    return tuple(members)


def _encode_batch(batch: EntryBatch) -> tuple[Any, bool]:
    """Encode a batch of objects; return it and whether it has all objects that can be encoded."""
    encoded = peer_pb2.EntryBatch(
        since_revision=batch.since_revision, revision=batch.revision, whole=batch.whole
    )
    size_bytes, limit_bytes = 0, MAX_SNAPSHOT_BYTES if batch.whole else MAX_DELTA_BYTES
    for stored in batch.objects:
        value = _encode_value(stored)
        if value is None:
            continue
        size_bytes += len(stored.key) + len(value)
        if size_bytes > limit_bytes and batch.whole:
            # A truncated snapshot would delete objects at the receiver; it lists the store instead.
            log_event("replica_too_large", objects=len(batch.objects), max_bytes=limit_bytes)
            return peer_pb2.EntryBatch(), not batch.objects
        if size_bytes > limit_bytes and encoded.entries:
            encoded.revision = min(batch.revision, encoded.entries[-1].version)
            return encoded, False
        encoded.entries.add(key=stored.key, version=stored.version, value=value)
    return encoded, True


def _encode_value(stored: StoredObject) -> bytes | None:
    """Encode the value of an object, empty if it is deleted; return None if that fails."""
    if stored.value is None:
        return b""
    try:
        return json.dumps(stored.value, separators=(",", ":"), ensure_ascii=False).encode()
    except (ValueError, TypeError, RecursionError) as error:
        _log_dropped_object(stored.key, f"{type(error).__name__}: {error}")
        return None


def _decode_batch(encoded: Any) -> EntryBatch:
    decoded = (_decode_object(entry) for entry in encoded.entries)
    objects = tuple(stored for stored in decoded if stored is not None)
    base_revision = 0 if encoded.whole else encoded.since_revision
    if any(stored.version <= base_revision for stored in objects):
        raise ValueError("an entry is not newer than what its batch starts from")
    return EntryBatch(encoded.since_revision, encoded.revision, encoded.whole, objects)


def _decode_object(entry: Any) -> StoredObject | None:
    if not entry.value:
        return StoredObject(entry.key, entry.version, None)
    parsed = parse_json(entry.value)
    if isinstance(parsed, Err):
        _log_dropped_object(entry.key, parsed.err_value)
        return None
    return StoredObject(entry.key, entry.version, parsed.ok_value)


def _log_dropped_object(key: str, reason: str) -> None:
    log_event("object_dropped", key=key[:80], reason=reason[:200])


def _add_facts(encoded: Any, batch: FactBatch, codec: FactCodec, now_s: float) -> int:
    """Add facts up to the size limit; return the position through which they are complete."""
    size_bytes, complete_through = 0, batch.from_position
    for fact, position in zip(batch.facts, batch.positions, strict=True):
        match codec.encode(fact.kind, fact.value):
            case Ok(value) if len(value) <= MAX_FACT_BYTES:
                size_bytes += len(value)
                if size_bytes > MAX_FACTS_BYTES:
                    return complete_through
                ttl_ms = max(0, int((fact.expires_s - now_s) * 1000))
                encoded.facts.add(
                    vm=fact.vm,
                    incarnation=fact.incarnation,
                    kind=fact.kind,
                    key=fact.key,
                    sequence=fact.sequence,
                    ttl_ms=ttl_ms,
                    value=value,
                )
            case Ok(value):
                _log_dropped_fact(fact.kind, fact.vm, f"{len(value)} bytes")
            case Err(reason):
                _log_dropped_fact(fact.kind, fact.vm, reason)
        complete_through = position
    return batch.through_position


def _decode_fact(encoded: Any, codec: FactCodec, now_s: float) -> Fact | None:
    if len(encoded.value) > MAX_FACT_BYTES:
        _log_dropped_fact(encoded.kind, encoded.vm, f"{len(encoded.value)} bytes")
        return None
    match codec.decode(encoded.kind, encoded.value):
        case Ok(value):
            return Fact(
                encoded.vm,
                encoded.incarnation,
                encoded.kind,
                encoded.key,
                encoded.sequence,
                value,
                now_s + min(encoded.ttl_ms, MAX_FACT_TTL_MS) / 1000,
            )
        case Err(reason):
            _log_dropped_fact(encoded.kind, encoded.vm, reason)
            return None


def _log_dropped_fact(kind: str, owner: str, reason: str) -> None:
    log_event("fact_dropped", kind=kind, owner=owner, reason=reason[:200])


def encode_loan_request(request: LoanRequest) -> bytes:
    """Encode a loan request."""
    return peer_pb2.Loan(
        borrower=request.borrower,
        incarnation=request.incarnation,
        budget=request.budget,
        share_ppm=max(0, request.share_ppm),
        term_ms=max(0, request.term_ms),
        number=request.number,
        returned=request.returned,
        tokens=max(0, request.tokens),
    ).SerializeToString()


def decode_loan_request(data: bytes) -> Result[LoanRequest, str]:
    """Decode a loan request, or return why it is malformed."""
    loan = peer_pb2.Loan()
    try:
        loan.ParseFromString(data)
    except DecodeError as error:
        return Err(str(error))
    min_share_ppm = 0 if loan.returned else 1
    if not loan.borrower or not loan.budget or not min_share_ppm <= loan.share_ppm <= 1_000_000:
        return Err("a loan needs a borrower, a budget and a share of 1 to 1,000,000 ppm")
    return Ok(
        LoanRequest(
            loan.borrower,
            loan.incarnation,
            loan.budget,
            loan.share_ppm,
            loan.term_ms,
            loan.number,
            loan.returned,
            min(loan.tokens, MAX_TOKENS_REQUESTED),
        )
    )


def encode_loan_grant(grant: LoanGrant) -> bytes:
    """Encode the answer to a loan request."""
    return peer_pb2.Grant(
        share_ppm=grant.share_ppm,
        tokens=grant.tokens,
        left_tokens=grant.left_tokens,
        wait_ms=max(0, grant.wait_ms),
    ).SerializeToString()


def decode_loan_grant(data: bytes) -> Result[LoanGrant, str]:
    """Decode the answer to a loan request, or return why it is malformed."""
    grant = peer_pb2.Grant()
    try:
        grant.ParseFromString(data)
    except DecodeError as error:
        return Err(str(error))
    token_amounts = (grant.tokens, grant.left_tokens)
    if grant.share_ppm > 1_000_000 or not all(0 <= n < float("inf") for n in token_amounts):
        return Err("a grant has a share of at most 1,000,000 ppm and finite tokens")
    wait_ms = min(grant.wait_ms, MAX_GRANT_WAIT_MS)
    return Ok(LoanGrant(grant.share_ppm, grant.tokens, grant.left_tokens, wait_ms))
