"""Model the messages between entry VMs apart from their encoding."""

from enum import Enum

from attrs import frozen

from wagtailbay.membership.facts import FactBatch
from wagtailbay.membership.models import Member
from wagtailbay.store import StoredObject


@frozen
class EntryBatch:
    """Hold objects that bring a replica from one revision, or a later one, to another.

    Attributes:
        whole: The objects are all that exist; any other was deleted by this revision.
    """

    since_revision: int
    revision: int
    whole: bool
    objects: tuple[StoredObject, ...]


@frozen
class ClockEcho:
    """Return a mark of the receiver's clock with a call.

    Attributes:
        mark_ms: The receiver's clock when it sent an answer that the sender has received.
        held_ms: How long the sender had the mark when it built the message.
    """

    mark_ms: int
    held_ms: int


@frozen
class Contact:
    """Tell when any VM last heard from one run of a VM."""

    vm: str
    incarnation: int
    contact_s: float


@frozen
class ExchangeMessage:
    """Hold one side of an exchange.

    Attributes:
        sender: The sender's own entry.
        replica_revision: Of the sender's replica, which may be beyond the batch.
        confirmed_age_ms: Age of the sender's knowledge of the store, None if it has none.
        facts_seen: The receiver's position up to which the sender holds its facts.
        facts_seen_incarnation: The incarnation of the receiver that the position belongs to.
        members: Other VMs that changed since the last exchange.
        contacts: Of VMs that the receiver does not hear itself.
        members_through: The sender's roster position that the members reach; not sent.
        replica_from: The sender's replica position after which the batch begins.
        replica_through: The one that it reaches, 0 for a part of a batch.
        replica_digest: Of the keys and versions that the sender holds.
        replica_seen: The receiver's position up to which the sender holds its objects.
        mark_ms: The sender's clock in an answer, None in a call.
        echo: In a call, the receiver's newest known mark.
    """

    sender: Member
    replica_revision: int
    confirmed_age_ms: float | None
    store_reachable: bool
    batch: EntryBatch
    facts: FactBatch
    facts_seen: int
    facts_seen_incarnation: int
    members: tuple[Member, ...]
    contacts: tuple[Contact, ...] = ()
    members_through: int = 0
    replica_from: int = 0
    replica_through: int = 0
    replica_seen: int = 0
    replica_digest: int = 0
    mark_ms: int | None = None
    echo: ClockEcho | None = None


class PeerFailure(Enum):
    """Name the ways in which a call to a peer fails."""

    UNKNOWN_VM = "the VM is not known"
    UNREACHABLE = "no answer"
    TIMEOUT = "no answer in time"
    REFUSED = "refused"
    MALFORMED = "malformed answer"


@frozen
class PeerError:
    """Report a failed call to a peer; a loan may have been made unless it was refused."""

    vm: str
    kind: PeerFailure
    message: str

    def __str__(self) -> str:
        """Return VM, kind and details."""
        return f"{self.vm}: {self.kind.value}: {self.message}"
