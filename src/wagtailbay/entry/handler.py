"""Request handler of the entry VMs, including their internal endpoints."""

import secrets
from collections.abc import Callable
from urllib.parse import parse_qs

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.access import Authorizer
from wagtailbay.config import ConfigView
from wagtailbay.entry.at_most_once import AtMostOnceForwarder
from wagtailbay.entry.const import (
    LOCATE_PATH,
    NOT_READY_RETRY_AFTER_MS,
    READY_PATH,
    REQUEST_ID_BYTES,
    STATUS_PATH,
)
from wagtailbay.entry.forward import Forwarder, check_quarantine
from wagtailbay.entry.models import RequestContext, ResponseTruncated
from wagtailbay.entry.routing import (
    check_key_not_exposed,
    find_route,
    request_timeout_ms,
    split_path_and_query,
    validate_request,
)
from wagtailbay.entry.wire import send_refusal
from wagtailbay.limits import WorkspaceLimiter
from wagtailbay.locate import VmRanker
from wagtailbay.logs import log_event
from wagtailbay.membership import Roster, VmState
from wagtailbay.metrics import Metrics
from wagtailbay.quarantine import request_fingerprint
from wagtailbay.refusals import Refusal, not_run
from wagtailbay.transport import CallerDisconnectedError, Reply, Request


@define
class RequestHandler:
    """Handles the requests of callers on one VM.

    Attributes:
        view: Returns the current configuration.
        at_most_once_forwarder: Forwards requests on non-idempotent routes.
        status: Returns the content of the status endpoint.
    """

    view: Callable[[], ConfigView]
    authorizer: Authorizer
    limiter: WorkspaceLimiter
    forwarder: Forwarder
    at_most_once_forwarder: AtMostOnceForwarder
    roster: Roster
    status: Callable[[float], dict]
    clock: Callable[[], float]
    metrics: Metrics = field(factory=Metrics)
    ranker: VmRanker = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the ranker of the roster's VMs."""
        self.ranker = VmRanker(self.roster)

    async def handle(self, request: Request, reply: Reply) -> None:
        """Handle one request and send its response."""
        if request.path.startswith("/-/"):
            await self._handle_internal(request, reply)
            return
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        match await self._admit(request, request_id):
            case Err(refusal):
                await self._refuse(reply, refusal, request_id)
            case Ok(context):
                await self._forward(context, reply)

    async def _admit(self, request: Request, request_id: str) -> Result[RequestContext, Refusal]:
        """Validate a request and apply its workspace's limit, without sending anything."""
        now_s = self.clock()
        validated = self._validate(request, request_id, now_s)
        if isinstance(validated, Err) or validated.ok_value.workspace is None:
            return validated
        context = validated.ok_value
        admitted = await self.limiter.admit(context.service, context.workspace, now_s)
        return admitted if isinstance(admitted, Err) else validated

    def _validate(
        self, request: Request, request_id: str, now_s: float
    ) -> Result[RequestContext, Refusal]:
        """Check readiness, form, route, deadline, key and quarantine of a request."""
        if self.roster.own_member.state is VmState.JOINING:
            message = "this VM is starting; use another VM"
            return Err(not_run(503, "not_ready", message, retry_after_ms=NOT_READY_RETRY_AFTER_MS))
        well_formed = validate_request(request)
        if isinstance(well_formed, Err):
            return well_formed
        route_match = find_route(request, self.view())
        if isinstance(route_match, Err):
            return route_match
        service, route, path = route_match.ok_value
        timeout_ms = request_timeout_ms(request, route)
        if isinstance(timeout_ms, Err):
            return timeout_ms
        authorized = self.authorizer.authorize(
            service, route, request.header("Authorization"), now_s
        )
        if isinstance(authorized, Err):
            return authorized
        key_check = check_key_not_exposed(request)
        if isinstance(key_check, Err):
            return key_check
        workspace = authorized.ok_value
        fingerprint = request_fingerprint(workspace, request.method, request.path, request.body)
        quarantine_check = check_quarantine(self.forwarder.crashes, fingerprint, now_s)
        if isinstance(quarantine_check, Err):
            return quarantine_check
        deadline_s = now_s + timeout_ms.ok_value / 1000
        return Ok(
            RequestContext(
                request_id, request, service, route, path, workspace, fingerprint, now_s, deadline_s
            )
        )

    async def _forward(self, context: RequestContext, reply: Reply) -> None:
        forwarder = self.forwarder if context.route.idempotent else self.at_most_once_forwarder
        match await forwarder.forward(context, reply):
            case Ok(status):
                self._record_request(context, status, "answered")
            case Err(Refusal() as refusal):
                self._record_request(context, refusal.status, "refused")
                await self._refuse(reply, refusal, context.request_id)
            case Err(ResponseTruncated(message=message)):
                self._record_request(context, 0, "cut")
                log_event("answer_cut", request_id=context.request_id, reason=message)
                raise CallerDisconnectedError

    def _record_request(self, context: RequestContext, status: int, outcome: str) -> None:
        latency_ms = (self.clock() - context.received_s) * 1000
        service, route = context.service.service, context.route.name
        self.metrics.record_finished_request(service, route, status, outcome, latency_ms)

    async def _refuse(self, reply: Reply, refusal: Refusal, request_id: str) -> None:
        self.metrics.record_refusal(refusal.code)
        log_event(
            "request_refused", request_id=request_id, code=refusal.code, run=refusal.run.value
        )
        await send_refusal(reply, refusal, request_id)

    async def _handle_internal(self, request: Request, reply: Reply) -> None:
        path, query_text = split_path_and_query(request.path)
        view = self.view()
        now_s = self.clock()
        if path == READY_PATH:
            ready = self.roster.own_member.state is VmState.LIVE
            await reply.send_json(200 if ready else 503, {"ready": ready})
        elif path == STATUS_PATH:
            await reply.send_json(200, self.status(now_s))
        elif path == LOCATE_PATH and view.fleet is not None:
            query = {name: values[0] for name, values in parse_qs(query_text).items()}
            client = query.get("client", "")
            zone = query.get("availability_zone")
            ranking = self.ranker.rank(client, zone, view.fleet, now_s)
            await reply.send_json(200, ranking.as_json())
        else:
            refusal = not_run(404, "path_unknown", f"there is nothing at {path!r}")
            await send_refusal(reply, refusal, "")
