"""Find the service, the route and the deadline of a request."""

from urllib.parse import urlsplit

from result import Err, Ok, Result

from wagtailbay.config import ConfigView, Route, ServiceDocument
from wagtailbay.entry.const import MAX_DEADLINE_MS
from wagtailbay.refusals import Refusal, not_run
from wagtailbay.transport import Request


def find_route(
    request: Request, view: ConfigView
) -> Result[tuple[ServiceDocument, Route, str], Refusal]:
    """Return service, route and the path at the target for ``/<service>/<path>``."""
    parts = urlsplit(request.path)
    name, _, rest = parts.path.removeprefix("/").partition("/")
    service = view.services.get(name)
    if service is None:
        return Err(not_run(404, "service_unknown", f"there is no service {name!r}"))
    path = "/" + rest
    route = service.route_for(path)
    if route is None:
        return Err(not_run(404, "route_unknown", f"service {name!r} has no route for {path!r}"))
    return Ok((service, route, f"{path}?{parts.query}" if parts.query else path))


def request_timeout_ms(request: Request, route: Route) -> Result[int, Refusal]:
    """Return the caller's timeout, or the route's deadline where it sets none."""
    text = request.header("Request-Timeout-Ms")
    if text is None:
        return Ok(route.deadline_ms)
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= MAX_DEADLINE_MS:
        message = f"Request-Timeout-Ms must be 1 to {MAX_DEADLINE_MS}, got {text!r}"
        return Err(not_run(400, "bad_timeout", message))
    return Ok(min(int(text), route.deadline_ms))
