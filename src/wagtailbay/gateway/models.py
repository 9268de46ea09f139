"""Model a request at the gateway, apart from the names that a front end gives to its fields."""

from typing import Protocol

from attrs import frozen
from result import Result

from wagtailbay.placement import LoadReport, TargetOutcome
from wagtailbay.refusals import Refusal
from wagtailbay.routing import RouteRule, Workspace
from wagtailbay.transport import Headers, Request, ResponseHead


@frozen
class CallerMetadata:
    """Hold what a caller says beside its request.

    Attributes:
        request_id: Of this one try of the caller; its next try has another.
        key: The key as presented, None without one.
        affinity: Names the object that the request concerns.
        deadline_ms: How long the caller waits, None if it does not say.
    """

    request_id: str
    host: str
    key: str | None
    affinity: str | None
    deadline_ms: float | None


@frozen
class TargetMetadata:
    """Hold what a target says beside its answer.

    Attributes:
        request_id: Of the request that it answers, None if it does not say.
        not_run: Whether it states that it has not run the request.
    """

    request_id: str | None
    not_run: bool
    load: LoadReport | None


class HeaderCodec(Protocol):
    """Give the fields of requests and answers the names of one front end."""

    def decode_caller(self, request: Request) -> Result[CallerMetadata, str]:
        """Decode what a caller says beside its request, or say what is wrong with it."""

    def target_headers(
        self, request: Request, workspace: str | None, target: str, remaining_ms: float
    ) -> Headers:
        """Return the headers for a target, without the caller's key."""

    def decode_target(self, head: ResponseHead) -> TargetMetadata:
        """Decode what a target says beside its answer."""

    def refusal_headers(self, request_id: str, retry_after_ms: float | None) -> Headers:
        """Return the headers of an answer of this system's own."""


@frozen
class GatewayRequest:
    """Hold what was decided about a request before it is sent.

    Attributes:
        workspace: None on a public route without a known key.
        service: The one of the route's services that serves it.
        allowed_regions: Where it may run; empty for anywhere.
        fingerprint: Names the request among those that crash targets.
        due_s: When the caller must have an answer, by its own deadline and the route's timeout.
    """

    caller: CallerMetadata
    request: Request
    route: RouteRule
    workspace: Workspace | None
    service: str
    allowed_regions: frozenset[str]
    fingerprint: str
    received_s: float
    deadline_s: float

    def remaining_ms(self, now_s: float) -> float:
        """Return the time left for an answer."""
        return max(0.0, (self.deadline_s - now_s) * 1000)


@frozen
class ResponseDelivered:
    """Report an answer that reached the caller."""

    status: int


@frozen
class ResponseTruncated:
    """Report an answer that broke off after its head had reached the caller."""

    message: str


@frozen
class AttemptResult:
    """Hold what came of sending a request to one target.

    Attributes:
        sign: What it shows of the target.
        answered: The answer that reached the caller, if one did.
        may_have_run: Whether the target may have run the request.
        ended_unanswered: Whether the connection ended with no byte of an answer.
        held: An answer that was held back because another target may give a better one.
    """

    outcome: TargetOutcome
    delivery: ResponseDelivered | ResponseTruncated | None
    may_have_run: bool
    closed_without_response: bool = False
    fallback: "BufferedResponse | None" = None


@frozen
class BufferedResponse:
    """Hold a target's whole answer."""

    status: int
    headers: Headers
    body: bytes


ForwardResult = Result[ResponseDelivered | ResponseTruncated, Refusal]
