"""Encode what the entry slice sends to callers and targets."""

from functools import lru_cache

from wagtailbay.entry.const import (
    KNOWN_NAMES,
    OWN_HEADER_PREFIX,
    PRIVATE_REQUEST_HEADERS,
    REPLAY_HEADER,
    RUN_HEADER,
)
from wagtailbay.entry.models import RequestContext
from wagtailbay.once import Outcome
from wagtailbay.refusals import Refusal, RunState
from wagtailbay.steer import Assignment
from wagtailbay.transport import Headers, Reply, Request, ResponseHead
from wagtailbay.transport.wire import end_to_end_headers


@lru_cache(maxsize=KNOWN_NAMES)
def is_private(name: str) -> bool:
    """Tell whether a caller's field must not reach a target."""
    plain = name.lower().replace("_", "-")
    return plain in PRIVATE_REQUEST_HEADERS or plain.startswith(OWN_HEADER_PREFIX)


def target_request(context: RequestContext, now_s: float) -> Request:
    """Build the request for a target; it never holds the caller's key."""
    kept = tuple(
        [
            (name, value)
            for name, value in end_to_end_headers(context.request.headers)
            if not is_private(name)
        ]
    )
    added: Headers = (
        ("Wagtailbay-Request-Id", context.request_id),
        ("Wagtailbay-Workspace", context.workspace or ""),
        ("Request-Timeout-Ms", str(context.remaining_ms(now_s))),
    )
    return Request(context.request.method, context.path, kept + added, context.request.body)


def answer_headers(
    context: RequestContext, vm: str, assignment: Assignment, head: ResponseHead
) -> Headers:
    """Build the headers of a target's answer for the caller; own names come from here only."""
    kept = [
        (name, value)
        for name, value in end_to_end_headers(head.headers)
        if not name.lower().startswith(OWN_HEADER_PREFIX)
    ]
    return (
        *kept,
        ("Wagtailbay-Request-Id", context.request_id),
        ("Wagtailbay-Vm", vm),
        ("Wagtailbay-Target", assignment.target.target),
    )


async def send_outcome(reply: Reply, outcome: Outcome) -> None:
    """Send a recorded outcome; one without its body is described by size and digest."""
    if outcome.body is not None:
        kept = tuple((n, v) for n, v in outcome.headers if n.lower() != "content-length")
        await reply.send_response(outcome.status, (*kept, (REPLAY_HEADER, "body")), outcome.body)
        return
    kept = tuple(
        (name, value) for name, value in outcome.headers if not name.lower().startswith("content-")
    )
    described = {"body_bytes": outcome.body_bytes, "body_sha256": outcome.body_sha256}
    await reply.send_json(
        outcome.status, {"outcome": described}, (*kept, (REPLAY_HEADER, "digest"))
    )


async def send_refusal(reply: Reply, refusal: Refusal, request_id: str) -> None:
    """Send a refusal to the caller."""
    error = {"code": refusal.code, "message": refusal.message, "run": refusal.run.value}
    run = "not-run" if refusal.run is RunState.NOT_RUN else "unknown"
    headers: Headers = ((RUN_HEADER, run), ("Wagtailbay-Request-Id", request_id))
    if refusal.retry_after_ms is not None:
        headers += (("Retry-After", str(max(1, -(-refusal.retry_after_ms // 1000)))),)
        error["retry_after_ms"] = refusal.retry_after_ms
    await reply.send_json(refusal.status, {"error": error}, headers)
