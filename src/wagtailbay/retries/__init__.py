"""Limit retries to a fraction of first attempts."""

from wagtailbay.retries.budget import RetryBudget, RetryBudgets

__all__ = ["RetryBudget", "RetryBudgets"]
