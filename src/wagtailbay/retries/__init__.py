"""Bound the share of retries in all tries."""

from wagtailbay.retries.budget import RetryBudget, ServiceRetries

__all__ = ["RetryBudget", "ServiceRetries"]
