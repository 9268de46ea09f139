"""Models of requests and attempts on the request path."""

from attrs import frozen
from result import Result

from wagtailbay.config import Route, ServiceDocument
from wagtailbay.refusals import Refusal
from wagtailbay.steer import AttemptReport
from wagtailbay.transport import Request


@frozen
class RequestContext:
    """Validated request with the decisions made before it is forwarded.

    Attributes:
        request_id: Unique in the fleet.
        path: Path and query as sent to the target.
        workspace: None on an open route, which needs no key.
        fingerprint: Identifies the request for crash counts and quarantine.
        deadline_s: Deadline of the response, on the VM's boot-time clock.
    """

    request_id: str
    request: Request
    service: ServiceDocument
    route: Route
    path: str
    workspace: str | None
    fingerprint: str
    received_s: float
    deadline_s: float

    def remaining_ms(self, now_s: float) -> int:
        """Return the time until the deadline, at least 0."""
        return max(0, round((self.deadline_s - now_s) * 1000))


@frozen
class ResponseTruncated:
    """A response that was truncated after part of it had been sent to the caller."""

    message: str


ForwardResult = Result[int, Refusal | ResponseTruncated]


@frozen
class AttemptResult:
    """Result of an attempt at one target.

    Attributes:
        forward_result: Status sent to the caller, or the reason why no response was completed.
        report: Outcome for the chooser and version statistics.
        may_have_run: Whether the target may have run the request.
        closed_without_response: Whether the target closed the connection before the first byte
            of a response.
    """

    forward_result: ForwardResult
    report: AttemptReport
    may_have_run: bool
    closed_without_response: bool = False
