"""Authenticate callers by API key and authorize their requests."""

from wagtailbay.access.authorizer import Authorizer
from wagtailbay.access.keys import KeyRecord, KeyRing, hash_key, new_key

__all__ = ["Authorizer", "KeyRecord", "KeyRing", "hash_key", "new_key"]
