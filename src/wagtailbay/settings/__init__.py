"""Read a program's settings from flags and environment variables."""

from wagtailbay.settings.loader import exit_with_faults, load_settings, load_settings_or_exit
from wagtailbay.settings.models import SettingFault, setting

__all__ = ["SettingFault", "exit_with_faults", "load_settings", "load_settings_or_exit", "setting"]
