"""Plan which region serves which share of each region's requests, where regions are uneven."""

from wagtailbay.regions.plan import RegionRoom, plan_shares
from wagtailbay.regions.router import RegionRouter
from wagtailbay.regions.tracker import RegionTracker

__all__ = ["RegionRoom", "RegionRouter", "RegionTracker", "plan_shares"]
