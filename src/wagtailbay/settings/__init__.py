"""Read a program's settings from flags and environment variables."""

from wagtailbay.settings.loader import load_settings, load_settings_or_exit
from wagtailbay.settings.models import SettingFault, setting

__all__ = ["SettingFault", "load_settings", "load_settings_or_exit", "setting"]
