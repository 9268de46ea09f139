"""Cache the store's replicated objects on a VM; versions only grow."""

from wagtailbay.replica.const import REPLICATED_PREFIXES
from wagtailbay.replica.follow import PrefixFollower
from wagtailbay.replica.replica import Freshness, Replica
from wagtailbay.replica.signal import ChangeSignal
from wagtailbay.replica.values import from_value, to_value
from wagtailbay.replica.watch import StoreReader

__all__ = [
    "REPLICATED_PREFIXES",
    "ChangeSignal",
    "Freshness",
    "PrefixFollower",
    "Replica",
    "StoreReader",
    "from_value",
    "to_value",
]
