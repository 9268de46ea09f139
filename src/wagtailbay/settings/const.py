"""Constants of the settings slice."""

from typing import Final

ENVIRONMENT_PREFIX: Final = "WAGTAILBAY_"
EXIT_STATUS_BAD_SETTING: Final = 2
