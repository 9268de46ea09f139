"""Refusals: responses to requests that the system rejects or cannot complete."""

from wagtailbay.refusals.models import Refusal, RunState, not_run, outcome_unknown

__all__ = ["Refusal", "RunState", "not_run", "outcome_unknown"]
