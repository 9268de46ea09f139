"""Codec for the platform's headers of callers and targets."""

import re
from math import isnan

from result import Err, Ok, Result

from wagtailbay.gateway import CallerMetadata, TargetMetadata
from wagtailbay.logs import log_event
from wagtailbay.placement import USUAL_PACE_PERCENT, LoadReport
from wagtailbay.platform.const import (
    AFFINITY_COOKIE_NAME,
    AUTHORIZATION_SCHEME,
    DEADLINE_HEADER,
    EXPECTED_TARGET_HEADER,
    LEAVING_HEADER,
    LOAD_HEADER,
    MAX_PACE_PERCENT,
    MAX_TARGET_PAUSE_MS,
    MIN_PACE_PERCENT,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    SEAL_HEADER,
    WORKSPACE_HEADER,
)
from wagtailbay.transport import Headers, Request, ResponseHead
from wagtailbay.transport.wire import end_to_end_headers

# Headers of a caller that are not forwarded: the gateway sets them itself or hides them.
STRIPPED_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_HEADER,
        EXPECTED_TARGET_HEADER,
        WORKSPACE_HEADER,
        "Authorization",
        "Content-Length",
        "Host",
    )
)
LOAD_PATTERN = re.compile(r"\s*([0-9]{1,6})\s*,\s*([0-9]{1,6})\s*,\s*([0-9]{1,6})\s*(?:,(.*))?")
PACE_PATTERN = re.compile(r"\s*([0-9]{1,6}(?:\.[0-9]{1,6})?)\s*")
SECONDS_PATTERN = re.compile(r"\s*([0-9]{1,12}(?:\.[0-9]{1,12})?)\s*")
# Statuses with which a target turns a request away and may ask for a pause.
PAUSE_STATUSES = (429, 503)
MISDIRECTED_STATUS = 421
# Statuses that callers take as a promise that the request has not run and never will.
PROMISE_STATUSES = (408, MISDIRECTED_STATUS, 429, 503)
AFFINITY_COOKIE_PATTERN = re.compile(rf"(?:^|;)\s*{AFFINITY_COOKIE_NAME}=([^;]*)")


class PlatformHeaderCodec:
    """Implements the gateway's HeaderCodec for the users' platform."""

    def decode_caller(self, request: Request) -> Result[CallerMetadata, str]:
        """Decode the metadata of a caller's request; fail if the deadline is not a number."""
        deadline_value = request.header(DEADLINE_HEADER)
        deadline_ms: float | None = None
        if deadline_value is not None:
            try:
                deadline_ms = float(deadline_value)
            except ValueError:
                deadline_ms = float("nan")
            if isnan(deadline_ms):
                return Err(f"{DEADLINE_HEADER} must be a number, got {deadline_value[:20]!r}")
        affinity_cookie = AFFINITY_COOKIE_PATTERN.search(request.header("Cookie") or "")
        scheme, _, key = (request.header("Authorization") or "").partition(" ")
        return Ok(
            CallerMetadata(
                request_id=request.header(REQUEST_ID_HEADER) or "",
                host=request.header("Host") or "",
                key=key.strip() if scheme.lower() == AUTHORIZATION_SCHEME.lower() else None,
                affinity=affinity_cookie[1] if affinity_cookie else None,
                deadline_ms=deadline_ms,
            )
        )

    def target_headers(
        self, request: Request, workspace: str | None, target: str, remaining_ms: float
    ) -> Headers:
        """Return the headers of a request to a target, without the caller's key."""
        forwarded = tuple(
            (name, value)
            for name, value in end_to_end_headers(request.headers)
            if name.lower() not in STRIPPED_HEADERS
        )
        added = (
            (DEADLINE_HEADER, str(max(1, int(remaining_ms)))),
            (EXPECTED_TARGET_HEADER, target),
        )
        return (*forwarded, *added, *(((WORKSPACE_HEADER, workspace),) if workspace else ()))

    def decode_target(self, head: ResponseHead) -> TargetMetadata:
        """Decode the metadata of a target's response."""
        return TargetMetadata(
            request_id=head.header(REQUEST_ID_HEADER),
            not_run=head.header(NOT_RUN_HEADER) is not None,
            misdirected=head.status == MISDIRECTED_STATUS,
            promises_not_run=head.status in PROMISE_STATUSES,
            lacks_signature=200 <= head.status < 300 and head.header(SEAL_HEADER) is None,
            load=_parse_load(head.header(LOAD_HEADER)),
            leaving=head.header(LEAVING_HEADER) is not None,
            pause_ms=_parse_pause_ms(head),
        )

    def refusal_headers(self, request_id: str, retry_after_ms: float | None) -> Headers:
        """Return the headers of a refusal by the gateway itself."""
        headers: Headers = ((REQUEST_ID_HEADER, request_id),) if request_id else ()
        if retry_after_ms is not None:
            headers += ((RETRY_AFTER_HEADER, f"{retry_after_ms / 1000:.3f}"),)
        return headers


def _parse_load(text: str | None) -> LoadReport | None:
    """Parse ``running,waiting,slots[,pace]``; return None if the first three are not valid.

    A fourth figure that is malformed, and figures after it, leave the others valid.
    """
    match = LOAD_PATTERN.fullmatch(text) if text is not None else None
    if match is None:
        return None
    running, waiting, slots = (int(number) for number in match.groups()[:3])
    return LoadReport(running, waiting, slots, _parse_pace_percent(match[4] or ""))


def _parse_pace_percent(text: str) -> float:
    """Return how long work takes at a target, 100 if it does not say so.

    A figure below the minimum is taken for an error, since it would attract all requests.
    """
    match = PACE_PATTERN.fullmatch(text.partition(",")[0])
    pace_percent = float(match[1]) if match else USUAL_PACE_PERCENT
    if pace_percent < MIN_PACE_PERCENT:
        return USUAL_PACE_PERCENT
    return min(MAX_PACE_PERCENT, pace_percent)


def _parse_pause_ms(head: ResponseHead) -> float | None:
    """Return for how long a target wants no further requests, None if it does not say so."""
    text = head.header(RETRY_AFTER_HEADER)
    if text is None or head.status not in PAUSE_STATUSES:
        return None
    match = SECONDS_PATTERN.fullmatch(text)
    pause_ms = float(match[1]) * 1000 if match else None
    if pause_ms is None or pause_ms > MAX_TARGET_PAUSE_MS:
        log_event("target_pause_unusable", value=text[:40], max_ms=round(MAX_TARGET_PAUSE_MS))
    return None if pause_ms is None else min(pause_ms, MAX_TARGET_PAUSE_MS)
