"""Run each non-idempotent request at most once, by a claim in the store before it is sent."""

from wagtailbay.once.calls import StoreCalls
from wagtailbay.once.expiry import ExpirySweep
from wagtailbay.once.gate import OnceGate
from wagtailbay.once.models import Claim, ClaimRecord, ClaimState, Outcome, Submission
from wagtailbay.once.writer import OutcomeWriter

__all__ = [
    "Claim",
    "ClaimRecord",
    "ClaimState",
    "ExpirySweep",
    "OnceGate",
    "Outcome",
    "OutcomeWriter",
    "StoreCalls",
    "Submission",
]
