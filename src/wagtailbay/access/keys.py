"""Generate, hash and look up API keys."""

import hashlib
import hmac
import secrets
from collections.abc import Callable, Mapping

from attrs import define, frozen

from wagtailbay.access.const import API_KEY_BYTES, API_KEY_PREFIX
from wagtailbay.store import StoredObject


@frozen
class KeyRecord:
    """An issued API key; the key itself is never stored."""

    workspace: str
    withdrawn: bool


def new_key() -> str:
    """Generate a random API key."""
    return secrets.token_urlsafe(API_KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal; keys are random, so no salt is needed."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


@define
class KeyRing:
    """Looks up API keys in the replicated objects.

    Attributes:
        objects: Returns the replicated objects by store key.
        reject_withdrawn: Test-only switch; False accepts withdrawn keys.
    """

    objects: Callable[[], Mapping[str, StoredObject]]
    reject_withdrawn: bool = True

    def lookup(self, key: str) -> KeyRecord | None:
        """Return the record of a key, or None if the key is unknown or withdrawn."""
        digest = hash_key(key)
        stored = self.objects().get(API_KEY_PREFIX + digest)
        if stored is None or stored.value is None:
            return None
        # The timing of a lookup by digest reveals nothing useful about the key. The constant-time
        # comparison rejects a stored object whose own key does not match the digest.
        if not hmac.compare_digest(stored.key.removeprefix(API_KEY_PREFIX), digest):
            return None
        record = _parse_record(stored.value)
        if record is None or (record.withdrawn and self.reject_withdrawn):
            return None
        return record


def _parse_record(value: object) -> KeyRecord | None:
    """Parse a stored key record; return None if it is invalid."""
    if not isinstance(value, dict) or not isinstance(value.get("workspace"), str):
        return None
    return KeyRecord(value["workspace"], value.get("withdrawn", False) is not False)
