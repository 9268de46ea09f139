"""Delays between the restarts of a failed task."""

from typing import Final

MIN_RESTART_DELAY_S: Final = 0.1
# Short against the seconds within which configuration changes must take effect.
MAX_RESTART_DELAY_S: Final = 2.0
# A task that ran for longer than this before it failed is restarted after the minimum delay.
STABLE_RUN_S: Final = 10.0
