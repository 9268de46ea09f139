"""Answer which entry VMs a caller should use."""

from wagtailbay.locate.rank import LocateAnswer, RankedVm, rank_vms

__all__ = ["LocateAnswer", "RankedVm", "rank_vms"]
