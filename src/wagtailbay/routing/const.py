"""Constants of the routing slice."""

from typing import Final

ROUTING_PREFIX: Final = "routing/"
# The replicated object that holds the newest accepted table.
ROUTING_KEY: Final = "routing/main"
