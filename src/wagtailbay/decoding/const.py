"""Limits of decoded values."""

from typing import Final

from cattrs.errors import BaseValidationError

# Exceptions raised when a value has an unexpected type, form or size.
DECODE_ERRORS: Final = (
    BaseValidationError,
    ValueError,
    TypeError,
    LookupError,
    ArithmeticError,
    AttributeError,
    RecursionError,
)
# Values nested deeper are replaced by null if the document cannot be parsed otherwise. The
# documents that this product reads nest at most 8 levels.
MAX_NESTING: Final = 32
# Integers with more digits are read as floating-point numbers if the document cannot be parsed
# otherwise; Python refuses to convert more than 4300 digits.
MAX_INTEGER_DIGITS: Final = 40
# Versions and counts are sent to other VMs as 64-bit integers.
MAX_COUNT: Final = 2**63 - 1
# Longer names and addresses do not occur; the limit keeps log lines and messages small.
MAX_TEXT_LENGTH: Final = 4_096
# Far above any timeout or cold time, and small enough to add to a clock without overflow.
MAX_DURATION_MS: Final = 366 * 86_400_000.0
