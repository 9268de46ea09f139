"""Messages between entry VMs, independent of their encoding."""

from enum import Enum

from attrs import frozen

from wagtailbay.membership.facts import FactBatch
from wagtailbay.membership.models import Member
from wagtailbay.store import StoredObject


@frozen
class EntryBatch:
    """Objects that bring a replica at since_revision or later up to revision.

    Attributes:
        whole: Whether the batch is a full snapshot; objects that it lacks were deleted by this
            revision.
    """

    since_revision: int
    revision: int
    whole: bool
    objects: tuple[StoredObject, ...]


@frozen
class ClockEcho:
    """A timestamp of the receiver's own clock, returned to it with a call.

    Attributes:
        mark_ms: The receiver's clock when it built an answer that the sender has received.
        held_ms: Time from the arrival of that answer to the building of this message, on the
            sender's clock.
    """

    mark_ms: int
    held_ms: int


@frozen
class Contact:
    """Time of the last contact of any VM with one incarnation of a VM."""

    vm: str
    incarnation: int
    contact_s: float


@frozen
class ExchangeMessage:
    """The request or the response of one exchange.

    Attributes:
        sender: The sender's own roster entry.
        replica_revision: Revision of the sender's replica; may be later than that of the batch.
        confirmed_age_ms: Age of the sender's last confirmation by the store, None if it has none.
        facts_seen: The receiver's fact position up to which the sender has its facts.
        facts_seen_incarnation: The incarnation of the receiver to which facts_seen and
            replica_seen belong.
        members: Other VMs that changed since the last exchange.
        contacts: Contact times of VMs that are not in direct contact with the receiver.
        members_through: The sender's roster position covered by members; not transmitted.
        replica_from: The sender's replica position after which the batch starts.
        replica_through: The sender's replica position covered by the batch; 0 if it was truncated.
        replica_digest: Digest of the keys and versions in the sender's replica.
        replica_seen: The receiver's replica position up to which the sender has its objects.
        mark_ms: The sender's clock in an answer, None in a call.
        echo: In a call, the newest mark that the sender has received from the receiver.
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
    """Reasons for the failure of a call to a peer."""

    UNKNOWN_VM = "the VM is not known"
    UNREACHABLE = "no answer"
    TIMEOUT = "no answer in time"
    REFUSED = "refused"
    MALFORMED = "malformed answer"
    UNIMPLEMENTED = "the VM does not have this method"


@frozen
class PeerError:
    """A failed call to a peer; unless refused, a requested loan may have been granted.

    Attributes:
        known_incarnation: Newest run of this VM that the peer knows, if it refused this one as an
            older one; else 0.
    """

    vm: str
    kind: PeerFailure
    message: str
    known_incarnation: int = 0

    def __str__(self) -> str:
        """Return the VM, the kind of failure and its details."""
        return f"{self.vm}: {self.kind.value}: {self.message}"
