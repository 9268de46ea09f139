"""Translate the headers of callers and targets."""

import re

from result import Err, Ok, Result

from wagtailbay.gateway import CallerMetadata, TargetMetadata
from wagtailbay.placement import LoadReport
from wagtailbay.platform.const import (
    AFFINITY_COOKIE,
    DEADLINE,
    EXPECTED_TARGET,
    KEY_SCHEME,
    LOAD,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    WORKSPACE,
)
from wagtailbay.transport import Headers, Request, ResponseHead
from wagtailbay.transport.wire import end_to_end_headers

# Fields of a caller that this system sets itself or keeps from targets.
OWN_FIELDS = frozenset(
    name.lower()
    for name in (DEADLINE, EXPECTED_TARGET, WORKSPACE, "Authorization", "Content-Length", "Host")
)
COOKIE = re.compile(rf"(?:^|;)\s*{AFFINITY_COOKIE}=([^;]*)")


class PlatformVocabulary:
    """Name what the gateway reads and writes as the platform does."""

    def decode_caller(self, request: Request) -> Result[CallerMetadata, str]:
        """Decode what a caller says beside its request."""
        deadline_text = request.header(DEADLINE)
        deadline_ms: float | None = None
        if deadline_text is not None:
            try:
                deadline_ms = float(deadline_text)
            except ValueError:
                return Err(f"{DEADLINE} must be a number, got {deadline_text[:20]!r}")
        cookie = COOKIE.search(request.header("Cookie") or "")
        scheme, _, key = (request.header("Authorization") or "").partition(" ")
        return Ok(
            CallerMetadata(
                request_id=request.header(REQUEST_ID) or "",
                host=request.header("Host") or "",
                key=key.strip() if scheme.lower() == KEY_SCHEME.lower() else None,
                affinity=cookie[1] if cookie else None,
                deadline_ms=deadline_ms,
            )
        )

    def target_headers(
        self, request: Request, workspace: str | None, target: str, remaining_ms: float
    ) -> Headers:
        """Return the headers for a target, without the caller's key."""
        kept = tuple(
            (name, value)
            for name, value in end_to_end_headers(request.headers)
            if name.lower() not in OWN_FIELDS
        )
        added = ((DEADLINE, str(max(1, int(remaining_ms)))), (EXPECTED_TARGET, target))
        return (*kept, *added, *(((WORKSPACE, workspace),) if workspace else ()))

    def decode_target(self, head: ResponseHead) -> TargetMetadata:
        """Decode what a target says beside its answer."""
        return TargetMetadata(
            request_id=head.header(REQUEST_ID),
            not_run=head.status == 421 or head.header(NOT_RUN) is not None,
            load=_load(head.header(LOAD)),
        )

    def refusal_headers(self, request_id: str, retry_after_ms: float | None) -> Headers:
        """Return the headers of an answer of this system's own."""
        headers: Headers = ((REQUEST_ID, request_id),) if request_id else ()
        if retry_after_ms is not None:
            headers += ((RETRY_AFTER, f"{retry_after_ms / 1000:.3f}"),)
        return headers


def _load(text: str | None) -> LoadReport | None:
    """Decode running and waiting requests and slots; None if they are missing or unreadable."""
    if text is None:
        return None
    parts = [part.strip() for part in text.split(",")]
    if len(parts) != 3 or not all(part.isdigit() for part in parts):
        return None
    return LoadReport(*(int(part) for part in parts))
