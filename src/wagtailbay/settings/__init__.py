"""Load the settings of a program from flags and environment variables."""

from wagtailbay.settings.loader import exit_with_errors, load_settings, load_settings_or_exit
from wagtailbay.settings.models import SettingError, setting

__all__ = ["SettingError", "exit_with_errors", "load_settings", "load_settings_or_exit", "setting"]
