"""Constants of the config slice."""

from typing import Final

SCHEMA_VERSION: Final = 1
DOCUMENT_PREFIX: Final = "documents/"
FLEET_DOCUMENT_KEY: Final = "documents/fleet"
DEFAULT_DEADLINE_MS: Final = 10_000
DEFAULT_IDLE_TIMEOUT_MS: Final = 5_000
