"""Refusals of idempotency handling; "not run" refers to the current submission only."""

from wagtailbay.refusals import Refusal, not_run, outcome_unknown


def too_many_waiting() -> Refusal:
    """Refuse a submission because too many requests are buffered for a claim."""
    message = "too many requests wait for the store; this submission was not sent"
    return not_run(503, "once_busy", message, retry_after_ms=1_000)


def claim_unavailable() -> Refusal:
    """Refuse a submission because the store did not accept the claim."""
    message = "the idempotency key could not be claimed; this submission was not sent"
    return not_run(503, "claim_unavailable", message, retry_after_ms=1_000)


def claim_contended() -> Refusal:
    """Refuse a submission because concurrent submissions kept changing the claim."""
    message = "other submissions of this key were faster; this submission was not sent"
    return not_run(503, "claim_contended", message, retry_after_ms=1_000)


def idempotency_key_reused() -> Refusal:
    """Refuse a key that was already used for a different request."""
    message = "this Idempotency-Key came with another method, path or body before"
    return not_run(422, "idempotency_key_reused", message)


def unknown_outcome() -> Refusal:
    """Refuse a submission whose key is already claimed but has no recorded outcome."""
    message = "outcome unknown: an earlier submission of this key may have run"
    return outcome_unknown(409, "outcome_unknown", message)
