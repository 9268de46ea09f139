"""Constants of the limits slice."""

from typing import Final

BUDGET_PREFIX: Final = "workspace:"
