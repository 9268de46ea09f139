"""Routing and authentication of administration requests."""

from collections.abc import Awaitable, Callable, Mapping

from attrs import define, field, frozen
from result import Err, Ok, Result

from wagtailbay.admin.auditing import Auditor
from wagtailbay.admin.const import OPENAPI_PATH, READY_PATH
from wagtailbay.admin.documents import DocumentOperations
from wagtailbay.admin.fleet import FleetReader
from wagtailbay.admin.keys import KeyOperations
from wagtailbay.admin.models import AdminError, ApiRequest, ApiResponse, ApiResult
from wagtailbay.admin.overview import Overview
from wagtailbay.admin.tokens import TokenAuthenticator
from wagtailbay.admin.wire import decode_body, decode_request_target, error_json, load_openapi
from wagtailbay.config import DocumentError
from wagtailbay.logs import log_event
from wagtailbay.transport import Reply, Request

Operation = Callable[[ApiRequest], Awaitable[ApiResult]]


@frozen
class Endpoint:
    """Maps a method and a path template to an operation.

    Attributes:
        schema: The name of the request body's schema in the OpenAPI document, None for no body.
        unauthenticated: Whether requests need no admin token.
        action: The name of the change in the audit trail, None if the operation only reads.
    """

    method: str
    template: str
    operation: Operation
    schema: str | None = None
    unauthenticated: bool = False
    action: str | None = None

    def match(self, segments: tuple[str, ...]) -> dict[str, str] | None:
        """Return the path parameters, or None if the path does not match the template."""
        parts = self.template.split("/")[1:]
        if len(parts) != len(segments):
            return None
        pairs = list(zip(parts, segments, strict=True))
        if any(part != segment for part, segment in pairs if not part.startswith("{")):
            return None
        return {part[1:-1]: segment for part, segment in pairs if part.startswith("{")}


@define
class AdminHandler:
    """Handles all requests of the administration API."""

    tokens: TokenAuthenticator
    documents: DocumentOperations
    keys: KeyOperations
    fleet: FleetReader
    overview: Overview
    auditor: Auditor
    endpoints: tuple[Endpoint, ...] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the table of endpoints."""
        withdrawal = "/v1/keys/{key_id}/withdrawal"
        documents, keys = self.documents, self.keys
        self.endpoints = (
            Endpoint("GET", OPENAPI_PATH, _get_openapi, unauthenticated=True),
            Endpoint("GET", READY_PATH, _get_ready, unauthenticated=True),
            Endpoint("POST", "/v1/validate", documents.validate, "ValidateRequest"),
            Endpoint("GET", "/v1/documents", documents.list),
            Endpoint("GET", "/v1/documents/{name}", documents.read),
            Endpoint(
                "PUT",
                "/v1/documents/{name}",
                documents.submit,
                "SubmitRequest",
                action="document.submit",
            ),
            Endpoint("DELETE", "/v1/documents/{name}", documents.delete, action="document.delete"),
            Endpoint("GET", "/v1/keys", keys.list),
            Endpoint("POST", "/v1/keys", keys.grant, "GrantRequest", action="key.grant"),
            Endpoint("POST", withdrawal, keys.withdraw, "WithdrawRequest", action="key.withdraw"),
            Endpoint("GET", withdrawal, keys.get_withdrawal),
            Endpoint("GET", "/v1/moves", self.overview.moves),
            Endpoint("GET", "/v1/fleet", self.fleet.get_fleet),
            Endpoint("GET", "/v1/audit", self.overview.audit),
            Endpoint("GET", "/v1/status", self.overview.status),
        )

    async def handle(self, request: Request, reply: Reply) -> None:
        """Process a request and send the response or error as JSON."""
        if request.method == "HEAD":
            # A response to HEAD must not have a body, but Reply.send_json sends one.
            await reply.start(405, (("Allow", "GET, POST, PUT, DELETE"), ("Content-Length", "0")))
            await reply.finish()
            return
        match await self.dispatch(request):
            case Ok(ApiResponse(status=status, value=value)):
                await reply.send_json(status, value)
            case Err(error):
                await reply.send_json(error.status, error_json(error))

    async def dispatch(self, request: Request) -> ApiResult:
        """Find the endpoint, authenticate the operator, decode the body and run the operation."""
        segments, query = decode_request_target(request.path)
        resolved = self._find_endpoint(request.method, segments)
        if isinstance(resolved, Err):
            return resolved
        endpoint, parameters = resolved.ok_value
        operator = ""
        if not endpoint.unauthenticated:
            authenticated = self.tokens.authenticate(request.header("Authorization"))
            if isinstance(authenticated, Err):
                if endpoint.action:
                    log_event("operator_unknown", action=endpoint.action, path=request.path[:200])
                return authenticated
            operator = authenticated.ok_value
        body = None
        if endpoint.schema is not None:
            decoded = decode_body(request.body, endpoint.schema)
            if isinstance(decoded, Err):
                self._record_malformed_request(operator, endpoint, segments, decoded)
                return decoded
            body = decoded.ok_value
        return await endpoint.operation(ApiRequest(operator, parameters, query, body))

    def _record_malformed_request(
        self, operator: str, endpoint: Endpoint, segments: tuple[str, ...], rejection: ApiResult
    ) -> None:
        """Audit a change whose body is malformed; the operations audit all other changes."""
        if endpoint.action:
            path = "/" + "/".join(segments)
            subject, versions = path[:200], (None, None)
            self.auditor.record_action(operator, endpoint.action, subject, "", versions, rejection)

    def _find_endpoint(
        self, method: str, segments: tuple[str, ...]
    ) -> Result[tuple[Endpoint, Mapping[str, str]], AdminError]:
        allowed = []
        for endpoint in self.endpoints:
            parameters = endpoint.match(segments)
            if parameters is None:
                continue
            if endpoint.method == method:
                return Ok((endpoint, parameters))
            allowed.append(endpoint.method)
        if allowed:
            message = f"{method} is not allowed here; use {', '.join(allowed)}"
            fault = DocumentError("(method)", message)
            return Err(AdminError(405, "method_not_allowed", message, (fault,)))
        message = f"there is nothing at {'/' + '/'.join(segments)!r:.200}"
        return Err(AdminError(404, "path_unknown", message, (DocumentError("(path)", message),)))


async def _get_openapi(request: ApiRequest) -> ApiResult:
    return Ok(ApiResponse(200, load_openapi()))


async def _get_ready(request: ApiRequest) -> ApiResult:
    return Ok(ApiResponse(200, {"ready": True}))
