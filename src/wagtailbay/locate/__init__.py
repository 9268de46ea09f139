"""Answer which entry VMs a caller should use."""

from wagtailbay.locate.rank import LocateAnswer, RankedVm, VmRanker, rank_vms

__all__ = ["LocateAnswer", "RankedVm", "VmRanker", "rank_vms"]
