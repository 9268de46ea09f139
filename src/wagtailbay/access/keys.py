"""Hold the keys' hashes."""

import hashlib
import hmac
import secrets
from collections.abc import Callable, Mapping

from attrs import define, frozen

from wagtailbay.access.const import API_KEY_BYTES, API_KEY_PREFIX
from wagtailbay.store import StoredObject


@frozen
class KeyRecord:
    """Describe a granted key; the key itself is never kept."""

    workspace: str
    withdrawn: bool


def new_key() -> str:
    """Return a new random key."""
    return secrets.token_urlsafe(API_KEY_BYTES)


def hash_key(key: str) -> str:
    """Return a key's SHA-256 in hexadecimal; its randomness makes a salt unnecessary."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


@define
class KeyRing:
    """Find the workspace of a key among the replicated objects.

    Attributes:
        reject_withdrawn: Test-only switch; False accepts withdrawn keys.
    """

    objects: Callable[[], Mapping[str, StoredObject]]
    reject_withdrawn: bool = True

    def lookup(self, key: str) -> KeyRecord | None:
        """Return the record of a key, or None if it is unknown or withdrawn."""
        digest = hash_key(key)
        stored = self.objects().get(API_KEY_PREFIX + digest)
        if stored is None or stored.value is None:
            return None
        # The lookup is by digest, whose timing tells nothing useful of the key; the comparison
        # in constant time guards against a store key that does not match its record.
        if not hmac.compare_digest(stored.key.removeprefix(API_KEY_PREFIX), digest):
            return None
        record = _parse_record(stored.value)
        if record is None or (record.withdrawn and self.reject_withdrawn):
            return None
        return record


def _parse_record(value: object) -> KeyRecord | None:
    """Return the record of a stored value; None if it holds no valid one."""
    if not isinstance(value, dict) or not isinstance(value.get("workspace"), str):
        return None
    return KeyRecord(value["workspace"], value.get("withdrawn", False) is not False)
