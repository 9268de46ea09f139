"""Ensure that each non-idempotent request runs at most once by claiming its key in the store."""

from wagtailbay.once.limiters import StoreCallLimiter
from wagtailbay.once.manager import IdempotencyManager
from wagtailbay.once.models import Claim, ClaimRecord, ClaimState, Outcome, Submission
from wagtailbay.once.sweeper import ClaimSweeper
from wagtailbay.once.writer import OutcomeWriter

__all__ = [
    "Claim",
    "ClaimRecord",
    "ClaimState",
    "ClaimSweeper",
    "IdempotencyManager",
    "Outcome",
    "OutcomeWriter",
    "StoreCallLimiter",
    "Submission",
]
