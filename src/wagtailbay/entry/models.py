"""Model a request on its way through the system."""

from attrs import frozen
from result import Result

from wagtailbay.config import Route, ServiceDocument
from wagtailbay.refusals import Refusal
from wagtailbay.steer import AttemptReport
from wagtailbay.transport import Request


@frozen
class RequestContext:
    """Hold what was decided about a request before it is forwarded.

    Attributes:
        request_id: Unique in the fleet.
        path: The path and query as the target sees them.
        workspace: None on a route open to all.
        fingerprint: Names the request among those that crash targets.
        deadline_s: When the answer is due, on the VM's boot-time clock.
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
        """Return the time left until the deadline."""
        return max(0, round((self.deadline_s - now_s) * 1000))


@frozen
class ResponseTruncated:
    """Report an answer that broke off after its first byte had reached the caller."""

    message: str


ForwardResult = Result[int, Refusal | ResponseTruncated]


@frozen
class AttemptResult:
    """Hold what came of one try at a target.

    Attributes:
        result: The status sent to the caller, or why there was none.
        may_have_run: Whether the target may have run the request.
        ended_unanswered: Whether the connection ended with no byte of an answer.
    """

    forward_result: ForwardResult
    report: AttemptReport
    may_have_run: bool
    closed_without_response: bool = False
