"""Probe one target."""

import random
from collections.abc import Callable
from typing import Protocol

import trio
from attrs import define, evolve
from result import Err, Ok, Result

from wagtailbay.health.const import (
    FAILED_AFTER_PROBES,
    LOAD_CHANGE,
    PROBE_INTERVAL_S,
    PROBE_JITTER,
    PROBE_TIMEOUT_MS,
    REPORT_TTL_MS,
    TARGET_REPORT_KIND,
)
from wagtailbay.health.models import LoadAnswer, ProbeFault, TargetReport, TargetState
from wagtailbay.health.wire import decode_health, decode_load
from wagtailbay.logs import log_event
from wagtailbay.membership import FactTable
from wagtailbay.transport import Request, Response, TransportError, fetch


class Fetch(Protocol):
    """Carry out one exchange; ``transport.fetch`` does."""

    async def __call__(
        self, address: str, request: Request, timeout_ms: int
    ) -> Result[Response, TransportError]:
        """Send a request and return the whole response."""


@define
class ProbeLoop:
    """Probe one target about once a second and publish what readers would notice.

    Attributes:
        noticeable_only: Test-only switch; False publishes every report.
    """

    service: str
    target: str
    address: str
    facts: FactTable
    clock: Callable[[], float]
    random: random.Random
    fetch: Fetch = fetch
    noticeable_only: bool = True
    failures: int = 0
    found: TargetReport | None = None
    published: TargetReport | None = None
    published_s: float = 0.0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self.probe()
            spread = self.random.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
            await trio.sleep(PROBE_INTERVAL_S * spread)

    async def probe(self) -> None:
        """Probe once; a target whose health answer states its load is asked one question."""
        health = await self._get("/health")
        match health.and_then(decode_health):
            case Ok(answer):
                self.failures = 0
                load = answer.load
                if load is None:
                    load = (await self._get("/load")).and_then(decode_load).unwrap_or(None)
                report = TargetReport(self.service, self.target, answer.state, load)
            case Err(fault):
                self.failures += 1
                report = self._failed(fault)
        if report is not None:
            self.found = report
            self._publish(report, self.clock())

    async def _get(self, path: str) -> Result[Response, ProbeFault]:
        answer = await self.fetch(self.address, Request("GET", path), PROBE_TIMEOUT_MS)
        return answer.map_err(lambda error: ProbeFault(str(error)))

    def _failed(self, fault: ProbeFault) -> TargetReport | None:
        """Return a report of failure, or the last one while the failure may be a lost message."""
        if fault.refused or self.failures >= FAILED_AFTER_PROBES:
            if self.found is None or self.found.state is not TargetState.FAILED:
                log_event("target_failed", target=self.target, reason=fault.message)
            return TargetReport(self.service, self.target, TargetState.FAILED)
        return evolve(self.found, load=None) if self.found is not None else None

    def _publish(self, report: TargetReport, now_s: float) -> None:
        due = now_s - self.published_s >= REPORT_TTL_MS / 2000 or not self.noticeable_only
        if self.published is not None and not due and not is_noticeable(self.published, report):
            return
        urgent = self.published is not None and self.published.state is not report.state
        key = f"{self.service}/{self.target}"
        self.facts.publish(
            TARGET_REPORT_KIND, key, report, ttl_ms=REPORT_TTL_MS, now_s=now_s, urgent=urgent
        )
        self.published, self.published_s = report, now_s


def is_noticeable(old: TargetReport, new: TargetReport) -> bool:
    """Tell whether a reader would choose differently after a change."""
    if old.state is not new.state:
        return True
    match old.load, new.load:
        case LoadAnswer() as before, LoadAnswer() as after:
            moved = abs(after.in_flight - before.in_flight) >= LOAD_CHANGE * after.slots
            return moved or before.slots != after.slots
        case before, after:
            return before is not after
