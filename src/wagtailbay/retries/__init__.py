"""Bound the share of retries in all tries."""

from wagtailbay.retries.budget import RetryBudget, RetryBudgets

__all__ = ["RetryBudget", "RetryBudgets"]
