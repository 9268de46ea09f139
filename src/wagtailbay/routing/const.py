"""Constants of the routing slice."""

from typing import Final

ROUTING_PREFIX: Final = "routing/"
# Key of the replicated object that holds the latest accepted routing table.
ROUTING_KEY: Final = "routing/main"
# After the store came back from an older copy, its operator writes again what was lost.
RESTORED_TABLE_DELAY_S: Final = 2.0
