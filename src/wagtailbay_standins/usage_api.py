"""Stand-in for the platform's API for usage reports, with a record of broken rules.

Tests inject faults through attributes: with ``error_status``, each call gets that status; while
``is_away``, connections end without an answer; ``delay_s`` delays the answer, after the report took
effect.
"""

import json
from collections.abc import Callable

import trio
from attrs import define, field, frozen

from wagtailbay.transport import CallerDisconnectedError, HttpServer, Reply, Request


@frozen
class ReceivedCall:
    """One call that took effect."""

    received_s: float
    holder: str
    token: int
    window: int
    counts: dict[str, int]


@define
class UsageApiStandin:
    """Accepts reports and checks what holds for all holders together."""

    lease_s: float = 3.0
    clock: Callable[[], float] = trio.current_time
    calls: list[ReceivedCall] = field(factory=list)
    reports: dict[int, dict[str, int]] = field(factory=dict)
    violations: list[str] = field(factory=list)
    error_status: int | None = None
    is_away: bool = False
    delay_s: float = 0.0

    def receive(self, holder: str, token: int, window: int, counts: dict[str, int]) -> None:
        """Accept a report, and note each rule that it breaks."""
        call = ReceivedCall(self.clock(), holder, token, window, counts)
        if self.reports.setdefault(window, counts) != counts:
            self.violations.append(f"two reports for window {window}")
        for earlier in self.calls:
            if earlier.token > token:
                self.violations.append(f"token {token} after {earlier.token}")
            if earlier.token == token and earlier.holder != holder:
                self.violations.append(f"token {token} of two holders")
        self._check_order(call)
        self.calls.append(call)

    def _check_order(self, call: ReceivedCall) -> None:
        """Note a holder that acts again within the lease time, with another one in between."""
        other_acted = False
        for earlier in reversed(self.calls):
            if call.received_s - earlier.received_s >= self.lease_s:
                return
            other_acted = other_acted or earlier.holder != call.holder
            if other_acted and earlier.holder == call.holder:
                self.violations.append(f"{call.holder} acted before and after another VM")
                return

    async def handle(self, request: Request, reply: Reply) -> None:
        """Answer one call."""
        if self.is_away:
            raise CallerDisconnectedError
        if self.error_status is not None:
            await reply.send_json(self.error_status, {})
            return
        body = json.loads(request.body)
        token = int(request.header("Fencing-Token") or "-1")
        self.receive(request.header("Duty-Holder") or "", token, body["window"], body["counts"])
        await trio.sleep(self.delay_s)
        await reply.send_json(200, {})

    async def serve(self, *, task_status: trio.TaskStatus) -> None:
        """Serve on a free loopback port; report ``ip:port`` once started."""
        async with trio.open_nursery() as nursery:
            host, port = await nursery.start(HttpServer(self.handle).serve, ("127.0.0.1", 0))
            task_status.started(f"{host}:{port}")
