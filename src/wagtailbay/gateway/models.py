"""Models of requests and responses at the gateway, independent of header names."""

from typing import Final, Protocol

from attrs import frozen
from result import Result

from wagtailbay.placement import LoadReport, TargetOutcome
from wagtailbay.refusals import Refusal
from wagtailbay.routing import RouteRule, Workspace
from wagtailbay.transport import Headers, Request, ResponseHead, ResponseOwner


@frozen
class CallerMetadata:
    """Metadata of a caller's request, decoded from its headers.

    Attributes:
        request_id: Identifies this request; a retry by the caller has another ID.
        key: API key as presented, None if there is none.
        affinity: Identifies the object that the request concerns, None if not given.
        deadline_ms: Time that the caller waits for a response, None if not given.
    """

    request_id: str
    host: str
    key: str | None
    affinity: str | None
    deadline_ms: float | None


@frozen
class TargetMetadata:
    """Metadata of a target's response, decoded from its headers.

    Attributes:
        request_id: ID of the request that the response belongs to, None if not given.
        not_run: Whether the target states that it has not run the request.
        misdirected: Whether the status says that the target is not the one that was meant.
        promises_not_run: Whether callers take the status as a promise that the request has not
            run. Only ``not_run`` proves it.
        load: Reported load, None if not given.
        lacks_signature: Whether the response claims a success without the signature that callers
            need to accept it.
        leaving: Whether the target states that it is leaving and wants no further requests.
        pause_ms: Time for which the target wants no requests of this VM, None if it does not say.
    """

    request_id: str | None
    not_run: bool
    load: LoadReport | None
    misdirected: bool = False
    promises_not_run: bool = False
    lacks_signature: bool = False
    leaving: bool = False
    pause_ms: float | None = None


class AttemptMeter(Protocol):
    """Counts the attempts that targets began to run, by workspace."""

    def record_begun(self, workspace: str, now_s: float) -> int:
        """Count an attempt that is sent now and return its window."""

    def retract(self, workspace: str, window: int) -> None:
        """Remove an attempt that no target began to run."""


class HeaderCodec(Protocol):
    """Translates request and response metadata to and from the headers of one platform."""

    def decode_caller(self, request: Request) -> Result[CallerMetadata, str]:
        """Decode the metadata of a caller's request; an error describes the invalid header."""

    def target_headers(
        self, request: Request, workspace: str | None, target: str, remaining_ms: float
    ) -> Headers:
        """Return the headers of a request to a target, without the caller's key."""

    def decode_target(self, head: ResponseHead) -> TargetMetadata:
        """Decode the metadata of a target's response."""

    def refusal_headers(self, request_id: str, retry_after_ms: float | None) -> Headers:
        """Return the headers of a refusal by the gateway itself."""


@frozen
class GatewayRequest:
    """Admitted request with the decisions made before it is forwarded.

    Attributes:
        workspace: None on a public route without a known key.
        service: Service of the route that was picked for this request.
        allowed_regions: Regions in which the request may run; empty allows every region.
        fingerprint: Identifies the request for crash counts and quarantine.
        deadline_s: Time by which the caller must have a response; the earlier of the caller's
            own deadline and the route's timeout.
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

    @property
    def priority(self) -> int:
        """Return the priority; that of the workspace overrides the route's. 0 is most urgent."""
        overrides = self.workspace is not None and self.workspace.priority is not None
        return self.workspace.priority if overrides else self.route.priority

    @property
    def affinity(self) -> str | None:
        """Return the affinity key, unique in the service, or None."""
        if not self.route.sticky or self.caller.affinity is None:
            return None
        return f"{self.route.host}{self.route.path_prefix}{self.caller.affinity}"

    def remaining_ms(self, now_s: float) -> float:
        """Return the time until the deadline, at least 0."""
        return max(0.0, (self.deadline_s - now_s) * 1000)


@frozen
class ResponseDelivered:
    """A response that was delivered to the caller."""

    status: int


@frozen
class ResponseTruncated:
    """A response that was truncated after its head had been sent to the caller."""

    message: str


OWNER_LABELS: Final = {
    ResponseOwner.THIS: "own_id",
    ResponseOwner.OTHER: "other_id",
    ResponseOwner.UNNAMED: "no_id",
}


@frozen
class ResponseEvidence:
    """What the response of a target proves about a request, for the request's log line.

    Attributes:
        states_not_run: Whether it states that the target has not run the request.
        owner: Request that it belongs to, by its ID.
        earlier_responses: Number of earlier responses on the same connection.
        connection: Number of the connection in this process.
    """

    status: int
    states_not_run: bool
    owner: ResponseOwner
    earlier_responses: int
    connection: int

    def __str__(self) -> str:
        """Format as ``status:statement:ID:earlier responses:connection``, without spaces."""
        statement = "not_run" if self.states_not_run else "no_statement"
        owner = OWNER_LABELS[self.owner]
        return f"{self.status}:{statement}:{owner}:{self.earlier_responses}:{self.connection}"


@frozen
class AttemptResult:
    """Result of an attempt at one target.

    Attributes:
        outcome: Outcome of the attempt for load, health and rollout statistics of the target.
        delivery: The response sent to the caller, None if nothing was sent.
        may_have_run: Whether the target may have run the request.
        closed_without_response: Whether the target closed the connection before the first byte
            of a response.
        fallback: Error response that is not delivered yet, because another target may succeed.
        failure: Why the exchange gave no usable response, empty if it gave one.
    """

    outcome: TargetOutcome
    delivery: ResponseDelivered | ResponseTruncated | None
    may_have_run: bool
    closed_without_response: bool = False
    fallback: "BufferedResponse | None" = None
    failure: str = ""


@frozen
class BufferedResponse:
    """A complete response of a target.

    Attributes:
        framed: Whether the target stated where the body ends, so that it is known to be whole.
            Otherwise the body ended with the connection.
        bodiless: Whether the headers state the length of a body that is not sent, as after HEAD.
    """

    status: int
    headers: Headers
    body: bytes
    framed: bool = True
    bodiless: bool = False


ForwardResult = Result[ResponseDelivered | ResponseTruncated, Refusal]
