"""Constants of the configuration documents."""

from typing import Final

SCHEMA_VERSION: Final = 1
DOCUMENT_PREFIX: Final = "documents/"
FLEET_DOCUMENT_NAME: Final = "fleet"
FLEET_DOCUMENT_KEY: Final = "documents/fleet"
DEFAULT_DEADLINE_MS: Final = 10_000
DEFAULT_IDLE_TIMEOUT_MS: Final = 5_000
# Values in both schemas are nested at most 3 levels deep. Formatting much deeper input in an error
# message could exhaust the stack.
MAX_DOCUMENT_DEPTH: Final = 8
MAX_ERROR_CHARACTERS: Final = 200
