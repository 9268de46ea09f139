"""Requirements that a deployment states for its fleet, as limits for the slices that decide."""

from wagtailbay.requirements.models import FleetRequirements
from wagtailbay.requirements.parse import parse_requirements

__all__ = ["FleetRequirements", "parse_requirements"]
