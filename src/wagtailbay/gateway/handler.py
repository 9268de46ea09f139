"""Request handler of the gateway: admission, forwarding, refusals and request logging."""

from collections.abc import Callable

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.entry.routing import split_path_and_query
from wagtailbay.gateway.const import (
    DENIAL_MARGIN_MS,
    MAX_LOGGED_FAILURE_CHARACTERS,
    NOT_READY_RETRY_AFTER_MS,
    OVERLOAD_GOAL_FRACTION,
    OVERLOAD_RETRY_AFTER_MS,
    QUARANTINE_RETRY_AFTER_MS,
    RESPONSE_MARGIN_MS,
    STALE_CONFIG_RETRY_AFTER_MS,
)
from wagtailbay.gateway.forward import GatewayForwarder, RequestTrace
from wagtailbay.gateway.lag import LoopLag
from wagtailbay.gateway.models import CallerMetadata, GatewayRequest, HeaderCodec, ResponseTruncated
from wagtailbay.logs import log_event
from wagtailbay.metrics import Metrics
from wagtailbay.quarantine import request_fingerprint
from wagtailbay.quota import WorkspaceQuota
from wagtailbay.refusals import Refusal, not_run
from wagtailbay.requirements import FleetRequirements
from wagtailbay.routing import ActiveRouting, RouteRule, RoutingTable, ServiceSplitter, Workspace
from wagtailbay.transport import CallerDisconnectedError, Reply, Request


@define
class GatewayHandler:
    """Handles the requests of callers on one VM.

    Attributes:
        config_age_ms: Returns the age of this VM's copy of the configuration, None if unknown.
        loop_lag: Estimates how long requests wait before this VM reads them.
    """

    routing: ActiveRouting
    header_codec: HeaderCodec
    quota: WorkspaceQuota
    forwarder: GatewayForwarder
    service_splitter: ServiceSplitter
    config_age_ms: Callable[[float], float | None]
    clock: Callable[[], float]
    loop_lag: LoopLag = field(factory=LoopLag)
    metrics: Metrics = field(factory=Metrics)
    requirements: FleetRequirements = field(factory=FleetRequirements)

    async def handle(self, request: Request, reply: Reply) -> None:
        """Handle one request and send its response."""
        now_s = self.clock()
        decoded = self.header_codec.decode_caller(request)
        if isinstance(decoded, Err):
            refusal = not_run(400, "malformed_request", decoded.err_value)
            await self._refuse(reply, refusal, "", RequestTrace(), None)
            return
        caller, trace = decoded.ok_value, RequestTrace()
        match await self._admit(caller, request, now_s):
            case Err(refusal):
                await self._refuse(reply, refusal, caller.request_id, trace, None)
            case Ok(admitted):
                await self._serve(admitted, reply, trace)

    def may_run_ahead(self, request: Request) -> bool:
        """Return whether a request may run while earlier ones on its connection are served.

        A request without a known route is refused in its turn, which takes no time.
        """
        decoded = self.header_codec.decode_caller(request)
        table = self.routing.table
        if table is None or isinstance(decoded, Err):
            return False
        path, _ = split_path_and_query(request.path)
        route = table.find_route(decoded.ok_value.host, path)
        return route is not None and route.idempotent

    async def _admit(
        self, caller: CallerMetadata, request: Request, now_s: float
    ) -> Result[GatewayRequest, Refusal]:
        """Check a request against routes, keys and limits, without sending anything."""
        table = self.routing.table
        if table is None:
            message = "no configuration is known yet"
            return Err(not_run(503, "not_ready", message, NOT_READY_RETRY_AFTER_MS))
        path, _ = split_path_and_query(request.path)
        route = table.find_route(caller.host, path)
        if route is None:
            return Err(self._deny(404, "route_unknown", "no route for host and path", now_s))
        waited_ms = self.loop_lag.estimated_wait_s() * 1000
        if waited_ms > OVERLOAD_GOAL_FRACTION * route.latency_goal_ms:
            message = "this VM is overloaded; use another one"
            return Err(not_run(503, "vm_overloaded", message, OVERLOAD_RETRY_AFTER_MS))
        authenticated = self._authenticate(table, route, caller, now_s)
        if isinstance(authenticated, Err):
            return authenticated
        workspace = authenticated.ok_value
        name = workspace.workspace if workspace else None
        fingerprint = request_fingerprint(name, request.method, request.path, request.body)
        refusal = await self._check_limits(workspace, fingerprint, now_s)
        if refusal is not None:
            return Err(refusal)
        # Without a deadline of the caller, the route's timeout applies.
        timeout_ms = route.timeout_ms
        if caller.deadline_ms is not None:
            timeout_ms = min(timeout_ms, caller.deadline_ms)
        return Ok(
            GatewayRequest(
                caller=caller,
                request=request,
                route=route,
                workspace=workspace,
                service=self.service_splitter.pick(route),
                allowed_regions=_allowed_regions(route, workspace),
                fingerprint=fingerprint,
                received_s=now_s,
                deadline_s=now_s + max(0.0, timeout_ms - waited_ms - RESPONSE_MARGIN_MS) / 1000,
            )
        )

    def _authenticate(
        self, table: RoutingTable, route: RouteRule, caller: CallerMetadata, now_s: float
    ) -> Result[Workspace | None, Refusal]:
        found = table.find_workspace(caller.key) if caller.key else None
        if found is None and table.workspaces and not route.public:
            return Err(self._deny(401, "key_unknown", "the key is not known", now_s))
        return Ok(found)

    async def _check_limits(
        self, workspace: Workspace | None, fingerprint: str, now_s: float
    ) -> Refusal | None:
        """Refuse quarantined requests and requests above the rate of their workspace."""
        if self.forwarder.crashes.is_refused(fingerprint, now_s):
            message = "earlier requests like this one crashed targets"
            return not_run(503, "crashes_targets", message, QUARANTINE_RETRY_AFTER_MS)
        admitted = Ok(None) if workspace is None else await self.quota.admit(workspace, now_s)
        if isinstance(admitted, Ok):
            return None
        exceeded = admitted.err_value
        rate = f"rate of {exceeded.rate_per_s:g} requests/s"
        message = f"{workspace.workspace} is above its {rate}"
        if not exceeded.owner_answers:
            message = f"the VM that owns the {rate} of {workspace.workspace} does not answer"
        return not_run(429, "rate_exceeded", message, round(exceeded.retry_after_ms))

    def _deny(self, status: int, code: str, message: str, now_s: float) -> Refusal:
        """Return a denial, or ask the caller to retry if the configuration may be stale."""
        age_ms = self.config_age_ms(now_s)
        required = self.requirements
        max_age_ms = required.contact_timeout_ms + required.config_apply_ms + DENIAL_MARGIN_MS
        if age_ms is None or age_ms > max_age_ms:
            message = "the configuration known here may be out of date"
            return not_run(503, "knowledge_stale", message, STALE_CONFIG_RETRY_AFTER_MS)
        return not_run(status, code, message)

    async def _serve(self, request: GatewayRequest, reply: Reply, trace: RequestTrace) -> None:
        request_id = request.caller.request_id
        match await self.forwarder.forward(request, reply, trace):
            case Err(refusal):
                await self._refuse(reply, refusal, request_id, trace, request)
            case Ok(ResponseTruncated(message=message)):
                self._log(request, trace, 0, "cut", message)
                raise CallerDisconnectedError
            case Ok(delivered):
                self._log(request, trace, delivered.status, "answered", "")

    async def _refuse(
        self,
        reply: Reply,
        refusal: Refusal,
        request_id: str,
        trace: RequestTrace,
        request: GatewayRequest | None,
    ) -> None:
        self.metrics.record_refusal(refusal.code)
        if request is not None:
            reason = f"{refusal.code}: {refusal.message}"
            self._log(request, trace, refusal.status, "refused", reason)
        else:
            age_ms = self.config_age_ms(self.clock())
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
        headers = self.header_codec.refusal_headers(request_id, refusal.retry_after_ms)
        error = {"code": refusal.code, "message": refusal.message, "run": refusal.run.value}
        await reply.send_json(refusal.status, {"error": error}, headers)

    def _log(
        self, request: GatewayRequest, trace: RequestTrace, status: int, outcome: str, reason: str
    ) -> None:
        latency_ms = (self.clock() - request.received_s) * 1000
        self.metrics.record_finished_request(
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
            tried=",".join(trace.attempts) or "-",
            responses=",".join(map(str, trace.responses)) or "-",
            failures="; ".join(trace.failures)[:MAX_LOGGED_FAILURE_CHARACTERS] or "-",
            load=round(trace.load, 1),
            latency_ms=round(latency_ms),
            version=self.routing.table.version if self.routing.table else 0,
        )


def _allowed_regions(route: RouteRule, workspace: Workspace | None) -> frozenset[str]:
    """Return the regions allowed by both route and workspace; empty allows every region."""
    workspace_regions = workspace.allowed_regions if workspace else frozenset()
    if route.allowed_regions and workspace_regions:
        # Without a common region no region is allowed. An empty set would allow all of them, so
        # the set holds a name that no region has.
        return (route.allowed_regions & workspace_regions) or frozenset({""})
    return route.allowed_regions or workspace_regions
