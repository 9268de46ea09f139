"""Handle one request of a caller from top to bottom."""

import secrets
from collections.abc import Callable
from urllib.parse import parse_qs

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.access import Authorizer
from wagtailbay.config import ConfigView
from wagtailbay.entry.const import (
    LOCATE_PATH,
    NOT_READY_RETRY_AFTER_MS,
    READY_PATH,
    REQUEST_ID_BYTES,
    STATUS_PATH,
)
from wagtailbay.entry.deposit import DepositForwarder
from wagtailbay.entry.forward import Forwarder, check_quarantine
from wagtailbay.entry.models import AnswerCut, RequestContext
from wagtailbay.entry.routing import (
    check_form,
    check_key_is_hidden,
    find_route,
    request_timeout_ms,
    split_target,
)
from wagtailbay.entry.wire import send_refusal
from wagtailbay.limits import WorkspaceLimiter
from wagtailbay.locate import VmRanker
from wagtailbay.logs import log_event
from wagtailbay.membership import Roster, VmState
from wagtailbay.metrics import Metrics
from wagtailbay.quarantine import request_fingerprint
from wagtailbay.refusals import Refusal, not_run
from wagtailbay.transport import CallerGoneError, Reply, Request


@define
class RequestHandler:
    """Serve callers on one VM."""

    view: Callable[[], ConfigView]
    gate: Authorizer
    limiter: WorkspaceLimiter
    forwarder: Forwarder
    deposits: DepositForwarder
    roster: Roster
    status: Callable[[float], dict]
    clock: Callable[[], float]
    metrics: Metrics = field(factory=Metrics)
    ranker: VmRanker = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Rank the VMs of the roster."""
        self.ranker = VmRanker(self.roster)

    async def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request."""
        if request.path.startswith("/-/"):
            await self._handle_own(request, reply)
            return
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        match await self._admit(request, request_id):
            case Err(refusal):
                await self._refuse(reply, refusal, request_id)
            case Ok(context):
                await self._forward(context, reply)

    async def _admit(self, request: Request, request_id: str) -> Result[RequestContext, Refusal]:
        """Decide whether a request may be sent; nothing is sent here."""
        now_s = self.clock()
        accepted = self._accept(request, request_id, now_s)
        if isinstance(accepted, Err) or accepted.ok_value.workspace is None:
            return accepted
        context = accepted.ok_value
        admitted = await self.limiter.admit(context.service, context.workspace, now_s)
        return admitted if isinstance(admitted, Err) else accepted

    def _accept(
        self, request: Request, request_id: str, now_s: float
    ) -> Result[RequestContext, Refusal]:
        """Check everything but the workspace's limit."""
        if self.roster.own_member.state is VmState.JOINING:
            message = "this VM is starting; use another VM"
            return Err(not_run(503, "not_ready", message, retry_after_ms=NOT_READY_RETRY_AFTER_MS))
        formed = check_form(request)
        if isinstance(formed, Err):
            return formed
        found = find_route(request, self.view())
        if isinstance(found, Err):
            return found
        service, route, path = found.ok_value
        timeout_ms = request_timeout_ms(request, route)
        if isinstance(timeout_ms, Err):
            return timeout_ms
        allowed = self.gate.authorize(service, route, request.header("Authorization"), now_s)
        if isinstance(allowed, Err):
            return allowed
        hidden = check_key_is_hidden(request)
        if isinstance(hidden, Err):
            return hidden
        workspace = allowed.ok_value
        mark = request_fingerprint(workspace, request.method, request.path, request.body)
        free = check_quarantine(self.forwarder.crashes, mark, now_s)
        if isinstance(free, Err):
            return free
        deadline_s = now_s + timeout_ms.ok_value / 1000
        return Ok(
            RequestContext(
                request_id, request, service, route, path, workspace, mark, now_s, deadline_s
            )
        )

    async def _forward(self, context: RequestContext, reply: Reply) -> None:
        path = self.forwarder if context.route.idempotent else self.deposits
        match await path.forward(context, reply):
            case Ok(status):
                self._count(context, status, "answered")
            case Err(Refusal() as refusal):
                self._count(context, refusal.status, "refused")
                await self._refuse(reply, refusal, context.request_id)
            case Err(AnswerCut(message=message)):
                self._count(context, 0, "cut")
                log_event("answer_cut", request_id=context.request_id, reason=message)
                raise CallerGoneError

    def _count(self, context: RequestContext, status: int, outcome: str) -> None:
        latency_ms = (self.clock() - context.received_s) * 1000
        service, route = context.service.service, context.route.name
        self.metrics.request_finished(service, route, status, outcome, latency_ms)

    async def _refuse(self, reply: Reply, refusal: Refusal, request_id: str) -> None:
        self.metrics.refused(refusal.code)
        log_event(
            "request_refused", request_id=request_id, code=refusal.code, run=refusal.run.value
        )
        await send_refusal(reply, refusal, request_id)

    async def _handle_own(self, request: Request, reply: Reply) -> None:
        path, query_text = split_target(request.path)
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
            answer = self.ranker.rank(client, zone, view.fleet, now_s)
            await reply.send_json(200, answer.as_json())
        else:
            refusal = not_run(404, "path_unknown", f"there is nothing at {path!r}")
            await send_refusal(reply, refusal, "")
