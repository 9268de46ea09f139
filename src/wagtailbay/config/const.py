"""Constants of the config slice."""

from typing import Final

SCHEMA_VERSION: Final = 1
DOCUMENT_PREFIX: Final = "documents/"
FLEET_DOCUMENT_NAME: Final = "fleet"
FLEET_DOCUMENT_KEY: Final = "documents/fleet"
DEFAULT_DEADLINE_MS: Final = 10_000
DEFAULT_IDLE_TIMEOUT_MS: Final = 5_000
# The deepest value of either schema lies at level 3; deeper input could exhaust the stack when a
# fault message formats it.
MAX_DOCUMENT_DEPTH: Final = 8
MAX_ERROR_CHARACTERS: Final = 200
