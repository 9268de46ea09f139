"""Check the keys that callers present."""

from wagtailbay.access.authorizer import Authorizer
from wagtailbay.access.keys import KeyRecord, KeyRing, hash_key, new_key

__all__ = ["Authorizer", "KeyRecord", "KeyRing", "hash_key", "new_key"]
