"""Move traffic between versions and away from what is drained."""

from wagtailbay.shift.fixed import AnyVersionPicker
from wagtailbay.shift.models import VersionChoice, VersionPicker

__all__ = ["AnyVersionPicker", "VersionChoice", "VersionPicker"]
