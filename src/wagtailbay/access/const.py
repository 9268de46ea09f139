"""Constants of the access slice."""

from typing import Final

API_KEY_PREFIX: Final = "keys/"
API_KEY_BYTES: Final = 32
# Knowledge of the store older than this cannot rule out a withdrawal in force elsewhere.
MAX_CONFIRMED_AGE_MS: Final = 5_000.0
