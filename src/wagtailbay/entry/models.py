"""Model a request on its way through the system."""

from attrs import frozen

from wagtailbay.config import Route, ServiceDocument
from wagtailbay.transport import Request


@frozen
class RequestContext:
    """Hold what was decided about a request before it is forwarded.

    Attributes:
        request_id: Unique in the fleet.
        path: The path and query as the target sees them.
        workspace: None on a route open to all.
        deadline_s: When the answer is due, on the VM's boot-time clock.
    """

    request_id: str
    request: Request
    service: ServiceDocument
    route: Route
    path: str
    workspace: str | None
    received_s: float
    deadline_s: float

    def remaining_ms(self, now_s: float) -> int:
        """Return the time left until the deadline."""
        return max(0, round((self.deadline_s - now_s) * 1000))
