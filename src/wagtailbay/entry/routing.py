"""Find the service, the route, the deadline and the key of a request."""

import re
from urllib.parse import unquote

from result import Err, Ok, Result

from wagtailbay.config import ConfigView, Route, ServiceDocument
from wagtailbay.entry.const import MAX_DEADLINE_MS, MIN_SEARCHED_KEY, SINGLE_REQUEST_HEADERS
from wagtailbay.refusals import Refusal, not_run
from wagtailbay.transport import Request

# Paths of these characters have one reading only and none of the forms that are refused.
PLAIN_PATH = re.compile(r"(?:/[A-Za-z0-9_~-]+)+")
CONTROL = re.compile(r"[\x00-\x1f\x7f]")
SLASHES = re.compile(r"[/\\]+")
BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")


def split_target(target: str) -> tuple[str, str]:
    """Split a request target into path and query."""
    path, _, query = target.partition("?")
    return path, query


def check_form(request: Request) -> Result[None, Refusal]:
    """Refuse targets and headers that two readers could understand differently."""
    message = _path_fault(request.path)
    for name in SINGLE_REQUEST_HEADERS if request.has_repeated_headers else ():
        if sum(1 for key, _ in request.headers if key.lower() == name) > 1:
            message = f"the header {name} must not be repeated"
    return Ok(None) if message is None else Err(not_run(400, "malformed_request", message))


def _path_fault(target: str) -> str | None:
    """Return what is wrong with a request target, or None."""
    if PLAIN_PATH.fullmatch(target):
        return None
    path, _ = split_target(target)
    decoded = unquote(path, errors="replace")
    message = None
    if not path.startswith("/") or path.startswith("//"):
        message = "the request target must be an absolute path"
    elif "#" in target:
        message = "the request target must not have a fragment"
    elif BAD_ESCAPE.search(target):
        message = "the request target has an incomplete percent escape"
    elif CONTROL.search(decoded):
        message = "the path must not have control characters"
    elif {".", ".."} & set(re.split(r"[/\\]", decoded.replace(";", "/"))):
        message = "the path must not have . or .. segments"
    return message


def find_route(
    request: Request, view: ConfigView
) -> Result[tuple[ServiceDocument, Route, str], Refusal]:
    """Return service, route and the path at the target for ``/<service>/<path>``."""
    path, query = split_target(request.path)
    name, _, rest = path.removeprefix("/").partition("/")
    service = view.services.get(name)
    if service is None:
        return Err(not_run(404, "service_unknown", f"there is no service {name!r}"))
    path = "/" + rest
    route = service.route_for(path)
    if route is None:
        return Err(not_run(404, "route_unknown", f"service {name!r} has no route for {path!r}"))
    if any(service.route_for(reading) is not route for reading in other_readings(path)):
        message = "the path is on different routes in its encoded and its plain form"
        return Err(not_run(400, "malformed_request", message))
    return Ok((service, route, f"{path}?{query}" if query else path))


def other_readings(path: str) -> tuple[str, ...]:
    """Return the other forms in which a target could read a path."""
    if PLAIN_PATH.fullmatch(path):
        return ()
    decoded = unquote(path, errors="replace")
    readings = {decoded, SLASHES.sub("/", path), SLASHES.sub("/", decoded)}
    return tuple(readings - {path})


def request_timeout_ms(request: Request, route: Route) -> Result[int, Refusal]:
    """Return the caller's timeout, or the route's deadline where it sets none."""
    text = request.header("Request-Timeout-Ms")
    if text is None:
        return Ok(route.deadline_ms)
    plain = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_DEADLINE_MS))
    if not plain or not 1 <= int(text) <= MAX_DEADLINE_MS:
        message = f"Request-Timeout-Ms must be 1 to {MAX_DEADLINE_MS}, got {text[:20]!r}"
        return Err(not_run(400, "bad_timeout", message))
    return Ok(min(int(text), route.deadline_ms))


def check_key_is_hidden(request: Request) -> Result[None, Refusal]:
    """Refuse a request that would show the caller's key to a target outside Authorization."""
    _, _, key = (request.header("Authorization") or "").partition(" ")
    key = key.strip()
    if len(key) < MIN_SEARCHED_KEY:
        return Ok(None)
    fields = [
        f"{name}\n{value}" for name, value in request.headers if name.lower() != "authorization"
    ]
    # One text, whose parts a key cannot span, is searched faster than each of them.
    text = "\n".join((request.path, *fields))
    texts = [text]
    if "%" in text:
        texts += [unquote(text, "latin-1"), unquote(request.path)]
    shown = any(key.lower() in text.lower() for text in texts)
    if shown or key.encode("latin-1") in request.body:
        message = "send the key in the header Authorization only"
        return Err(not_run(400, "key_exposed", message))
    return Ok(None)
