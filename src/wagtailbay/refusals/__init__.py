"""Model the answers by which the system refuses or gives up a request."""

from wagtailbay.refusals.models import Refusal, RunState, not_run, outcome_unknown

__all__ = ["Refusal", "RunState", "not_run", "outcome_unknown"]
