"""Model claims on idempotency keys and the outcomes recorded for them."""

import hashlib
from enum import Enum

from attrs import frozen

from wagtailbay.once.const import CLAIM_KEY_PREFIX, MAX_RECORDED_BODY_BYTES, OPEN_ROUTE_WORKSPACE
from wagtailbay.transport import Headers


class ClaimState(Enum):
    """Name what is recorded about a claimed request."""

    CLAIMED = "claimed"
    NOT_SENT = "not_sent"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@frozen
class Submission:
    """Identify one non-idempotent request; key is the caller's Idempotency-Key."""

    workspace: str | None
    idempotency_key: str
    method: str
    path: str
    body: bytes

    @property
    def object_key(self) -> str:
        """Return the name of the claim's object in the store."""
        digest = hashlib.sha256(self.idempotency_key.encode()).hexdigest()
        return f"{CLAIM_KEY_PREFIX}{self.workspace or OPEN_ROUTE_WORKSPACE}/{digest}"

    @property
    def digest(self) -> str:
        """Return the SHA-256 of method, path and body; a length prefix keeps parts apart."""
        hasher = hashlib.sha256()
        for part in (self.method.encode(), self.path.encode(), self.body):
            hasher.update(len(part).to_bytes(8, "big") + part)
        return hasher.hexdigest()


@frozen
class Outcome:
    """Hold a target's complete answer; body is None where it exceeds 64 KB."""

    status: int
    headers: Headers
    body: bytes | None
    body_bytes: int
    body_sha256: str

    @classmethod
    def from_body(cls, status: int, headers: Headers, body: bytes) -> "Outcome":
        """Build the outcome of a body that is known as a whole."""
        recorded_body = body if len(body) <= MAX_RECORDED_BODY_BYTES else None
        return cls(status, headers, recorded_body, len(body), hashlib.sha256(body).hexdigest())


@frozen
class ClaimRecord:
    """Hold the object of one claim.

    Attributes:
        digest: SHA-256 of method, path and body.
        mark: Random, chosen by the writer; tells its own write from another VM's.
        claimed_unix_s: When the claim was made, for its expiry.
        outcome: Present in state ANSWERED.
    """

    digest: str
    vm: str
    incarnation: int
    mark: str
    claimed_unix_s: float
    state: ClaimState = ClaimState.CLAIMED
    outcome: Outcome | None = None


@frozen
class Claim:
    """Hold the right to send a request once; version is that of the claim's object."""

    object_key: str
    record: ClaimRecord
    version: int
