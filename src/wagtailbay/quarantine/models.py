"""Crash counts, quarantined requests and request fingerprints."""

import hashlib

from attrs import frozen


@frozen
class CrashCount:
    """Crashes of one request as seen by one VM; the value of facts of kind ``crash``.

    Attributes:
        targets: Target name of each crash; a target may occur several times.
        description: Workspace, method and path without query, shown in the status.
    """

    targets: tuple[str, ...]
    description: str


@frozen
class QuarantinedRequest:
    """Refused request as shown in the status, with the time left in quarantine."""

    fingerprint: str
    description: str
    crashes: int
    left_s: float


def request_fingerprint(workspace: str | None, method: str, path: str, body: bytes) -> str:
    """Return the SHA-256 of the workspace, method, path and body hash, as hexadecimal digits."""
    fingerprint = hashlib.sha256()
    for part in ((workspace or "").encode(), method.encode(), path.encode()):
        fingerprint.update(len(part).to_bytes(8, "big") + part)
    fingerprint.update(hashlib.sha256(body).digest())
    return fingerprint.hexdigest()
