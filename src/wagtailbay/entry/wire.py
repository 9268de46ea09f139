"""Encode what the entry slice sends to callers and targets."""

from wagtailbay.entry.const import PRIVATE_REQUEST_HEADERS, RUN_HEADER
from wagtailbay.entry.models import RequestContext
from wagtailbay.refusals import Refusal, RunState
from wagtailbay.transport import Headers, Reply, Request
from wagtailbay.transport.wire import end_to_end_headers


def target_request(context: RequestContext, now_s: float) -> Request:
    """Build the request for a target; it never holds the caller's key."""
    kept = tuple(
        (name, value)
        for name, value in end_to_end_headers(context.request.headers)
        if name.lower() not in PRIVATE_REQUEST_HEADERS
    )
    added: Headers = (
        ("Wagtailbay-Request-Id", context.request_id),
        ("Wagtailbay-Workspace", context.workspace or ""),
        ("Request-Timeout-Ms", str(context.remaining_ms(now_s))),
    )
    return Request(context.request.method, context.path, kept + added, context.request.body)


async def send_refusal(reply: Reply, refusal: Refusal, request_id: str) -> None:
    """Send a refusal to the caller."""
    error = {"code": refusal.code, "message": refusal.message, "run": refusal.run.value}
    run = "not-run" if refusal.run is RunState.NOT_RUN else "unknown"
    headers: Headers = ((RUN_HEADER, run), ("Wagtailbay-Request-Id", request_id))
    if refusal.retry_after_ms is not None:
        headers += (("Retry-After", str(max(1, -(-refusal.retry_after_ms // 1000)))),)
        error["retry_after_ms"] = refusal.retry_after_ms
    await reply.send_json(refusal.status, {"error": error}, headers)
