"""Constants of the routing slice."""

from typing import Final

ROUTING_PREFIX: Final = "routing/"
# Key of the replicated object that holds the latest accepted routing table.
ROUTING_KEY: Final = "routing/main"
