"""Validate the form of a request and find its service, route and timeout."""

import re
from urllib.parse import unquote

from result import Err, Ok, Result

from wagtailbay.config import ConfigView, Route, ServiceDocument
from wagtailbay.entry.const import MAX_DEADLINE_MS, MIN_SEARCHED_KEY_LENGTH, SINGLE_REQUEST_HEADERS
from wagtailbay.refusals import Refusal, not_run
from wagtailbay.transport import Request

# Paths of these characters have a single interpretation and always pass validation.
PLAIN_PATH = re.compile(r"(?:/[A-Za-z0-9_~-]+)+")
CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f]")
SLASHES = re.compile(r"[/\\]+")
BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")


def split_path_and_query(target: str) -> tuple[str, str]:
    """Split an HTTP request target into path and query."""
    path, _, query = target.partition("?")
    return path, query


def validate_request(request: Request) -> Result[None, Refusal]:
    """Refuse request targets and headers that another server could interpret differently."""
    message = _path_error(request.path)
    for name in SINGLE_REQUEST_HEADERS if request.has_repeated_headers else ():
        if sum(1 for key, _ in request.headers if key.lower() == name) > 1:
            message = f"the header {name} must not be repeated"
    return Ok(None) if message is None else Err(not_run(400, "malformed_request", message))


def _path_error(target: str) -> str | None:
    """Return why an HTTP request target is invalid, or None."""
    if PLAIN_PATH.fullmatch(target):
        return None
    path, _ = split_path_and_query(target)
    decoded = unquote(path, errors="replace")
    message = None
    if not path.startswith("/") or path.startswith("//"):
        message = "the request target must be an absolute path"
    elif "#" in target:
        message = "the request target must not have a fragment"
    elif BAD_ESCAPE.search(target):
        message = "the request target has an incomplete percent escape"
    elif CONTROL_CHARACTER.search(decoded):
        message = "the path must not have control characters"
    elif {".", ".."} & set(re.split(r"[/\\]", decoded.replace(";", "/"))):
        message = "the path must not have . or .. segments"
    return message


def find_route(
    request: Request, view: ConfigView
) -> Result[tuple[ServiceDocument, Route, str], Refusal]:
    """Return the service, the route and the path at the target for ``/<service>/<path>``."""
    path, query = split_path_and_query(request.path)
    name, _, rest = path.removeprefix("/").partition("/")
    service = view.services.get(name)
    if service is None:
        return Err(not_run(404, "service_unknown", f"there is no service {name!r}"))
    path = "/" + rest
    route = service.route_for(path)
    if route is None:
        return Err(not_run(404, "route_unknown", f"service {name!r} has no route for {path!r}"))
    if any(service.route_for(decoding) is not route for decoding in alternative_decodings(path)):
        message = "the path is on different routes in its encoded and its plain form"
        return Err(not_run(400, "malformed_request", message))
    return Ok((service, route, f"{path}?{query}" if query else path))


def alternative_decodings(path: str) -> tuple[str, ...]:
    """Return the other forms that a target could decode or normalize a path to."""
    if PLAIN_PATH.fullmatch(path):
        return ()
    decoded = unquote(path, errors="replace")
    decodings = {decoded, SLASHES.sub("/", path), SLASHES.sub("/", decoded)}
    return tuple(decodings - {path})


def request_timeout_ms(request: Request, route: Route) -> Result[int, Refusal]:
    """Return the timeout requested by the caller, limited to the deadline of the route."""
    text = request.header("Request-Timeout-Ms")
    if text is None:
        return Ok(route.deadline_ms)
    is_valid = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_DEADLINE_MS))
    if not is_valid or not 1 <= int(text) <= MAX_DEADLINE_MS:
        message = f"Request-Timeout-Ms must be 1 to {MAX_DEADLINE_MS}, got {text[:20]!r}"
        return Err(not_run(400, "bad_timeout", message))
    return Ok(min(int(text), route.deadline_ms))


def check_key_not_exposed(request: Request) -> Result[None, Refusal]:
    """Refuse a request whose path, headers or body contain the caller's key.

    Authorization is removed before the request is forwarded; a key elsewhere would not be.
    """
    _, _, key = (request.header("Authorization") or "").partition(" ")
    key = key.strip()
    if len(key) < MIN_SEARCHED_KEY_LENGTH:
        return Ok(None)
    headers = [
        f"{name}\n{value}" for name, value in request.headers if name.lower() != "authorization"
    ]
    # Searching one joined text is faster than searching each part. Keys hold no newline, so they
    # cannot match across parts.
    text = "\n".join((request.path, *headers))
    texts = [text]
    if "%" in text:
        texts += [unquote(text, "latin-1"), unquote(request.path)]
    is_exposed = any(key.lower() in text.lower() for text in texts)
    if is_exposed or key.encode("latin-1") in request.body:
        message = "send the key in the header Authorization only"
        return Err(not_run(400, "key_exposed", message))
    return Ok(None)
