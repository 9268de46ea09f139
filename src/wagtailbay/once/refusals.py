"""Build the refusals of the once slice; "not run" speaks of the submission that is answered."""

from wagtailbay.refusals import Refusal, not_run, outcome_unknown


def too_many_waiting() -> Refusal:
    """Refuse for want of memory for more claims."""
    message = "too many requests wait for the store; this submission was not sent"
    return not_run(503, "once_busy", message, retry_after_ms=1_000)


def claim_unavailable() -> Refusal:
    """Refuse because the key could not be claimed."""
    message = "the idempotency key could not be claimed; this submission was not sent"
    return not_run(503, "claim_unavailable", message, retry_after_ms=1_000)


def claim_contended() -> Refusal:
    """Refuse because other submissions of the key kept changing the claim."""
    message = "other submissions of this key were faster; this submission was not sent"
    return not_run(503, "claim_contended", message, retry_after_ms=1_000)


def idempotency_key_reused() -> Refusal:
    """Refuse a key that came with another request before."""
    message = "this Idempotency-Key came with another method, path or body before"
    return not_run(422, "idempotency_key_reused", message)


def unknown_outcome() -> Refusal:
    """Answer a submission whose key was claimed before and has no recorded outcome."""
    message = "outcome unknown: an earlier submission of this key may have run"
    return outcome_unknown(409, "outcome_unknown", message)
