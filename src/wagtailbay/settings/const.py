"""Constants of the settings slice."""

from typing import Final

ENVIRONMENT_PREFIX: Final = "WAGTAILBAY_"
EXIT_STATUS_INVALID_SETTING: Final = 2
