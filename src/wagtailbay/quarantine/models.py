"""Model requests that crash targets."""

import hashlib

from attrs import frozen


@frozen
class CrashCount:
    """Hold one VM's crashes of one request; the value of facts of kind ``crash``.

    Attributes:
        targets: One entry for each crash, by target name.
        description: Workspace, method and path without the query, for the status.
    """

    targets: tuple[str, ...]
    description: str


@frozen
class QuarantinedRequest:
    """Hold one refused request for the status."""

    fingerprint: str
    description: str
    crashes: int
    left_s: float


def request_fingerprint(workspace: str | None, method: str, path: str, body: bytes) -> str:
    """Return the SHA-256 of workspace, method, path and body hash."""
    fingerprint = hashlib.sha256()
    for part in ((workspace or "").encode(), method.encode(), path.encode()):
        fingerprint.update(len(part).to_bytes(8, "big") + part)
    fingerprint.update(hashlib.sha256(body).digest())
    return fingerprint.hexdigest()
