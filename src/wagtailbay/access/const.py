"""Constants of authentication and authorization."""

from typing import Final

API_KEY_PREFIX: Final = "keys/"
API_KEY_BYTES: Final = 32
# An older replica may lack a key withdrawal that is already enforced elsewhere.
MAX_CONFIRMED_AGE_MS: Final = 5_000.0
