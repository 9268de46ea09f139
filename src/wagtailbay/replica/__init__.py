"""Local replica of the store's replicated objects, whose versions never decrease."""

from wagtailbay.replica.const import REPLICATED_PREFIXES
from wagtailbay.replica.lost_objects import LostObjectHold, wait_until_due_s
from wagtailbay.replica.prefix_reader import PrefixReader
from wagtailbay.replica.replica import Freshness, Replica
from wagtailbay.replica.signal import ChangeSignal
from wagtailbay.replica.store_contact import StoreContact
from wagtailbay.replica.store_reader import StoreReader
from wagtailbay.replica.values import from_value, to_value

__all__ = [
    "REPLICATED_PREFIXES",
    "ChangeSignal",
    "Freshness",
    "LostObjectHold",
    "PrefixReader",
    "Replica",
    "StoreContact",
    "StoreReader",
    "from_value",
    "to_value",
    "wait_until_due_s",
]
