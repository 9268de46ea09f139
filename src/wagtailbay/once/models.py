"""Data models of idempotency key claims and recorded outcomes."""

import hashlib
from enum import Enum

from attrs import frozen

from wagtailbay.once.const import CLAIM_KEY_PREFIX, MAX_RECORDED_BODY_BYTES, OPEN_ROUTE_WORKSPACE
from wagtailbay.transport import Headers


class ClaimState(Enum):
    """State of a claimed request as recorded in the store."""

    CLAIMED = "claimed"
    NOT_SENT = "not_sent"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@frozen
class Submission:
    """A non-idempotent request together with the caller's Idempotency-Key."""

    workspace: str | None
    idempotency_key: str
    method: str
    path: str
    body: bytes

    @property
    def object_key(self) -> str:
        """Return the store key of the claim object."""
        digest = hashlib.sha256(self.idempotency_key.encode()).hexdigest()
        return f"{CLAIM_KEY_PREFIX}{self.workspace or OPEN_ROUTE_WORKSPACE}/{digest}"

    @property
    def digest(self) -> str:
        """Return the SHA-256 of method, path and body, each prefixed with its length."""
        hasher = hashlib.sha256()
        for part in (self.method.encode(), self.path.encode(), self.body):
            hasher.update(len(part).to_bytes(8, "big") + part)
        return hasher.hexdigest()


@frozen
class Outcome:
    """A target's complete response; body is None if it exceeds 64 KB."""

    status: int
    headers: Headers
    body: bytes | None
    body_bytes: int
    body_sha256: str

    @classmethod
    def from_body(cls, status: int, headers: Headers, body: bytes) -> "Outcome":
        """Create an outcome from a complete body, omitting one that is too large to record."""
        recorded_body = body if len(body) <= MAX_RECORDED_BODY_BYTES else None
        return cls(status, headers, recorded_body, len(body), hashlib.sha256(body).hexdigest())


@frozen
class ClaimRecord:
    """Content of a claim object in the store.

    Attributes:
        digest: SHA-256 of method, path and body.
        mark: Random value by which the writer distinguishes its own write from another VM's.
        claimed_unix_s: Time of the claim, from which its expiry is computed.
        outcome: Set only in state ANSWERED.
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
    """Permission to send a request once; version is the version of the claim object."""

    object_key: str
    record: ClaimRecord
    version: int
