"""Admit a caller's request, serve it, and log what was decided."""

from collections.abc import Callable

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.entry.routing import split_target
from wagtailbay.gateway.const import (
    ANSWER_MARGIN_MS,
    CRASHING_RETRY_AFTER_MS,
    DENIAL_RETRY_AFTER_MS,
    MAX_DENIAL_AGE_MS,
    NOT_READY_RETRY_AFTER_MS,
    OVERLOAD_GOAL_PART,
    OVERLOAD_RETRY_AFTER_MS,
)
from wagtailbay.gateway.forward import GatewayForwarder, RequestTrace
from wagtailbay.gateway.lag import LoopLag
from wagtailbay.gateway.models import AnswerBroken, CallerHead, GatewayRequest, Vocabulary
from wagtailbay.logs import log_event
from wagtailbay.metrics import Metrics
from wagtailbay.quarantine import request_fingerprint
from wagtailbay.quota import TokenBorrower, WorkspaceQuota
from wagtailbay.refusals import Refusal, not_run
from wagtailbay.routing import ActiveRouting, RouteRule, RoutingTable, ServiceSplitter, Workspace
from wagtailbay.transport import CallerDisconnectedError, Reply, Request


@define
class GatewayHandler:
    """Serve callers of one VM.

    Attributes:
        knowledge_age_ms: Returns the age of what this VM knows of the store, None if unknown.
    """

    routing: ActiveRouting
    vocabulary: Vocabulary
    quota: WorkspaceQuota
    borrower: TokenBorrower
    forwarder: GatewayForwarder
    splitter: ServiceSplitter
    knowledge_age_ms: Callable[[float], float | None]
    clock: Callable[[], float]
    lag: LoopLag = field(factory=LoopLag)
    metrics: Metrics = field(factory=Metrics)

    async def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request."""
        now_s = self.clock()
        read = self.vocabulary.read_caller(request)
        if isinstance(read, Err):
            refusal = not_run(400, "malformed_request", read.err_value)
            await self._refuse(reply, refusal, "", RequestTrace(), None)
            return
        caller, trace = read.ok_value, RequestTrace()
        match await self._admit(caller, request, now_s):
            case Err(refusal):
                await self._refuse(reply, refusal, caller.request_id, trace, None)
            case Ok(admitted):
                await self._serve(admitted, reply, trace)

    async def _admit(
        self, caller: CallerHead, request: Request, now_s: float
    ) -> Result[GatewayRequest, Refusal]:
        """Decide whether a request may be sent; nothing is sent here."""
        table = self.routing.table
        if table is None:
            message = "no configuration is known yet"
            return Err(not_run(503, "not_ready", message, NOT_READY_RETRY_AFTER_MS))
        path, _ = split_target(request.path)
        route = table.find_route(caller.host, path)
        if route is None:
            return Err(self._deny(404, "route_unknown", "no route for host and path", now_s))
        waited_ms = self.lag.waited_s() * 1000
        if waited_ms > OVERLOAD_GOAL_PART * route.latency_goal_ms:
            message = "this VM is overloaded; use another one"
            return Err(not_run(503, "vm_overloaded", message, OVERLOAD_RETRY_AFTER_MS))
        allowed = self._find_workspace(table, route, caller, now_s)
        if isinstance(allowed, Err):
            return allowed
        workspace = allowed.ok_value
        name = workspace.workspace if workspace else None
        fingerprint = request_fingerprint(name, request.method, request.path, request.body)
        refusal = await self._limit(workspace, fingerprint, now_s)
        if refusal is not None:
            return Err(refusal)
        wait_ms = route.timeout_ms
        if caller.deadline_ms is not None:
            wait_ms = min(wait_ms, caller.deadline_ms)
        return Ok(
            GatewayRequest(
                caller=caller,
                request=request,
                route=route,
                workspace=workspace,
                service=self.splitter.pick(route),
                allowed_regions=_allowed_regions(route, workspace),
                fingerprint=fingerprint,
                received_s=now_s,
                due_s=now_s + max(0.0, wait_ms - waited_ms - ANSWER_MARGIN_MS) / 1000,
            )
        )

    def _find_workspace(
        self, table: RoutingTable, route: RouteRule, caller: CallerHead, now_s: float
    ) -> Result[Workspace | None, Refusal]:
        found = table.find_workspace(caller.key) if caller.key else None
        if found is None and table.workspaces and not route.public:
            return Err(self._deny(401, "key_unknown", "the key is not known", now_s))
        return Ok(found)

    async def _limit(
        self, workspace: Workspace | None, fingerprint: str, now_s: float
    ) -> Refusal | None:
        """Refuse what crashed targets, and what is above a workspace's rate."""
        if self.forwarder.crashes.is_refused(fingerprint, now_s):
            message = "earlier requests like this one crashed targets"
            return not_run(503, "crashes_targets", message, CRASHING_RETRY_AFTER_MS)
        admitted = Ok(None) if workspace is None else self.quota.admit(workspace, now_s)
        if isinstance(admitted, Ok) or await self.borrower.borrow(workspace):
            return None
        exceeded = admitted.err_value
        message = (
            f"{workspace.workspace} is above its rate: {exceeded.share_per_s:.1f} of"
            f" {workspace.rate_per_s:g} requests/s at this VM"
        )
        return not_run(429, "rate_exceeded", message, round(exceeded.retry_after_ms))

    def _deny(self, status: int, code: str, message: str, now_s: float) -> Refusal:
        """Return a denial; without fresh knowledge the caller is asked to come back instead."""
        age_ms = self.knowledge_age_ms(now_s)
        if age_ms is None or age_ms > MAX_DENIAL_AGE_MS:
            message = "the configuration known here may be out of date"
            return not_run(503, "knowledge_stale", message, DENIAL_RETRY_AFTER_MS)
        return not_run(status, code, message)

    async def _serve(self, request: GatewayRequest, reply: Reply, trace: RequestTrace) -> None:
        request_id = request.caller.request_id
        match await self.forwarder.forward(request, reply, trace):
            case Err(refusal):
                await self._refuse(reply, refusal, request_id, trace, request)
            case Ok(AnswerBroken(message=message)):
                self._log(request, trace, 0, "cut", message)
                raise CallerDisconnectedError
            case Ok(answered):
                self._log(request, trace, answered.status, "answered", "")

    async def _refuse(
        self,
        reply: Reply,
        refusal: Refusal,
        request_id: str,
        trace: RequestTrace,
        request: GatewayRequest | None,
    ) -> None:
        self.metrics.refused(refusal.code)
        if request is not None:
            reason = f"{refusal.code}: {refusal.message}"
            self._log(request, trace, refusal.status, "refused", reason)
        else:
            age_ms = self.knowledge_age_ms(self.clock())
            log_event(
                "request_refused",
                request_id=request_id,
                status=refusal.status,
                code=refusal.code,
                reason=refusal.message,
                retry_after_ms=refusal.retry_after_ms,
                version=self.routing.table.version if self.routing.table else 0,
                knowledge_age_ms=None if age_ms is None else round(age_ms),
            )
        headers = self.vocabulary.refusal_headers(request_id, refusal.retry_after_ms)
        error = {"code": refusal.code, "message": refusal.message, "run": refusal.run.value}
        await reply.send_json(refusal.status, {"error": error}, headers)

    def _log(
        self, request: GatewayRequest, trace: RequestTrace, status: int, outcome: str, reason: str
    ) -> None:
        latency_ms = (self.clock() - request.received_s) * 1000
        self.metrics.request_finished(
            request.service, request.route.name, status, outcome, latency_ms
        )
        log_event(
            "request_finished",
            request_id=request.caller.request_id,
            outcome=outcome,
            status=status,
            reason=reason,
            route=request.route.name,
            service=request.service,
            workspace=request.workspace.workspace if request.workspace else "-",
            tried=",".join(trace.tried) or "-",
            load=round(trace.load, 1),
            latency_ms=round(latency_ms),
            version=self.routing.table.version if self.routing.table else 0,
        )


def _allowed_regions(route: RouteRule, workspace: Workspace | None) -> frozenset[str]:
    """Return where a request may run; the homes of route and workspace both bind."""
    of_workspace = workspace.allowed_regions if workspace else frozenset()
    if route.allowed_regions and of_workspace:
        # Homes without a region in common leave none, which no region's name is.
        return (route.allowed_regions & of_workspace) or frozenset({""})
    return route.allowed_regions or of_workspace
