"""Translation between the users' platform and the product; no decisions are made here."""

from wagtailbay.platform.durations import parse_duration_ms
from wagtailbay.platform.headers import PlatformHeaderCodec
from wagtailbay.platform.store import PlatformStore

__all__ = ["PlatformHeaderCodec", "PlatformStore", "parse_duration_ms"]
