"""Bound the share of retries in all tries."""

from wagtailbay.retries.budget import RetryBudget

__all__ = ["RetryBudget"]
