"""Determine which entry VMs a client should use."""

from wagtailbay.locate.groups import RankedVm
from wagtailbay.locate.near import near_vms
from wagtailbay.locate.rank import LocateAnswer, VmRanker, rank_vms

__all__ = ["LocateAnswer", "RankedVm", "VmRanker", "near_vms", "rank_vms"]
