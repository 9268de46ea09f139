"""Check the keys that callers present."""

from wagtailbay.access.gate import AccessGate
from wagtailbay.access.keys import KeyRecord, KeyRing, hash_key, new_key

__all__ = ["AccessGate", "KeyRecord", "KeyRing", "hash_key", "new_key"]
