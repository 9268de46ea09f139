"""Encode requests to targets and responses to callers."""

from functools import lru_cache

from wagtailbay.entry.const import (
    HEADER_NAME_CACHE_SIZE,
    PRIVATE_REQUEST_HEADERS,
    REPLAY_HEADER,
    REQUEST_ID_HEADER,
    RESERVED_HEADER_PREFIX,
    RUN_HEADER,
)
from wagtailbay.entry.models import RequestContext
from wagtailbay.once import Outcome
from wagtailbay.refusals import Refusal, RunState
from wagtailbay.steer import Assignment
from wagtailbay.transport import Headers, Reply, Request, ResponseHead
from wagtailbay.transport.wire import end_to_end_headers


@lru_cache(maxsize=HEADER_NAME_CACHE_SIZE)
def is_private(name: str) -> bool:
    """Return whether a caller's header must not be forwarded to a target."""
    normalized = name.lower().replace("_", "-")
    return normalized in PRIVATE_REQUEST_HEADERS or normalized.startswith(RESERVED_HEADER_PREFIX)


def build_target_request(context: RequestContext, now_s: float) -> Request:
    """Build the request for a target, without the headers that hold the caller's key."""
    kept = tuple(
        [
            (name, value)
            for name, value in end_to_end_headers(context.request.headers)
            if not is_private(name)
        ]
    )
    added: Headers = (
        (REQUEST_ID_HEADER, context.request_id),
        ("Wagtailbay-Workspace", context.workspace or ""),
        ("Request-Timeout-Ms", str(context.remaining_ms(now_s))),
    )
    return Request(context.request.method, context.path, kept + added, context.request.body)


def build_response_headers(
    context: RequestContext, vm: str, assignment: Assignment, head: ResponseHead
) -> Headers:
    """Build the headers of a target's response for the caller.

    Reserved headers sent by the target are dropped, so that only this system sets them.
    """
    kept = [
        (name, value)
        for name, value in end_to_end_headers(head.headers)
        if not name.lower().startswith(RESERVED_HEADER_PREFIX)
    ]
    return (
        *kept,
        (REQUEST_ID_HEADER, context.request_id),
        ("Wagtailbay-Vm", vm),
        ("Wagtailbay-Target", assignment.target.target),
    )


async def send_recorded_outcome(reply: Reply, outcome: Outcome) -> None:
    """Replay a recorded outcome, with size and digest of the body if it was not recorded."""
    if outcome.body is not None:
        kept = tuple((n, v) for n, v in outcome.headers if n.lower() != "content-length")
        await reply.send_response(outcome.status, (*kept, (REPLAY_HEADER, "body")), outcome.body)
        return
    kept = tuple(
        (name, value) for name, value in outcome.headers if not name.lower().startswith("content-")
    )
    summary = {"body_bytes": outcome.body_bytes, "body_sha256": outcome.body_sha256}
    await reply.send_json(outcome.status, {"outcome": summary}, (*kept, (REPLAY_HEADER, "digest")))


async def send_refusal(reply: Reply, refusal: Refusal, request_id: str) -> None:
    """Send a refusal to the caller as JSON."""
    error = {"code": refusal.code, "message": refusal.message, "run": refusal.run.value}
    run = "not-run" if refusal.run is RunState.NOT_RUN else "unknown"
    headers: Headers = ((RUN_HEADER, run), (REQUEST_ID_HEADER, request_id))
    if refusal.retry_after_ms is not None:
        headers += (("Retry-After", str(max(1, -(-refusal.retry_after_ms // 1000)))),)
        error["retry_after_ms"] = refusal.retry_after_ms
    await reply.send_json(refusal.status, {"error": error}, headers)
