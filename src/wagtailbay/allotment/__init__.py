"""Divide budgets whose total the sum over VMs may never exceed."""

from wagtailbay.allotment.equal import EqualShares

__all__ = ["EqualShares"]
