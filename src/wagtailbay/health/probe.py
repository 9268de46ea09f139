"""Probe a single target and publish its state."""

import random
from collections.abc import Callable
from typing import Protocol

import trio
from attrs import define, evolve
from result import Err, Ok, Result

from wagtailbay.health.const import (
    PROBE_FAILURE_THRESHOLD,
    PROBE_INTERVAL_S,
    PROBE_JITTER,
    PROBE_TIMEOUT_MS,
    REPORT_TTL_MS,
    SIGNIFICANT_LOAD_CHANGE,
    TARGET_REPORT_KIND,
)
from wagtailbay.health.models import ProbeError, ReportedLoad, TargetReport, TargetState
from wagtailbay.health.wire import decode_health, decode_load
from wagtailbay.logs import log_event
from wagtailbay.membership import FactTable
from wagtailbay.transport import Request, Response, TransportError, fetch


class Fetch(Protocol):
    """Sends an HTTP request; implemented by ``transport.fetch``."""

    async def __call__(
        self, address: str, request: Request, timeout_ms: int
    ) -> Result[Response, TransportError]:
        """Send a request and return the complete response."""


@define
class ProbeLoop:
    """Probes one target about once a second and publishes significant changes.

    Attributes:
        significant_changes_only: Test-only switch; False publishes every report.
        last_report: Result of the last probe.
        last_published: Last published report.
    """

    service: str
    target: str
    address: str
    facts: FactTable
    clock: Callable[[], float]
    rng: random.Random
    fetch: Fetch = fetch
    significant_changes_only: bool = True
    consecutive_failures: int = 0
    last_report: TargetReport | None = None
    last_published: TargetReport | None = None
    last_published_s: float = 0.0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self.probe()
            jitter = self.rng.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
            await trio.sleep(PROBE_INTERVAL_S * jitter)

    async def probe(self) -> None:
        """Probe once; request the load separately if the health response lacks it."""
        health = await self._get("/health")
        match health.and_then(decode_health):
            case Ok(health_response):
                self.consecutive_failures = 0
                load = health_response.load
                if load is None:
                    load = (await self._get("/load")).and_then(decode_load).unwrap_or(None)
                report = TargetReport(self.service, self.target, health_response.state, load)
            case Err(error):
                self.consecutive_failures += 1
                report = self._failure_report(error)
        if report is not None:
            self.last_report = report
            self._publish(report, self.clock())

    async def _get(self, path: str) -> Result[Response, ProbeError]:
        response = await self.fetch(self.address, Request("GET", path), PROBE_TIMEOUT_MS)
        return response.map_err(lambda error: ProbeError(str(error)))

    def _failure_report(self, error: ProbeError) -> TargetReport | None:
        """Return a failure report, or the last report while a lost message may be the cause."""
        if error.reported_unhealthy or self.consecutive_failures >= PROBE_FAILURE_THRESHOLD:
            if self.last_report is None or self.last_report.state is not TargetState.FAILED:
                log_event("target_failed", target=self.target, reason=error.message)
            return TargetReport(self.service, self.target, TargetState.FAILED)
        return evolve(self.last_report, load=None) if self.last_report is not None else None

    def _publish(self, report: TargetReport, now_s: float) -> None:
        refresh_due = (
            now_s - self.last_published_s >= REPORT_TTL_MS / 2000
            or not self.significant_changes_only
        )
        if (
            self.last_published is not None
            and not refresh_due
            and not is_significant_change(self.last_published, report)
        ):
            return
        urgent = self.last_published is not None and self.last_published.state is not report.state
        key = f"{self.service}/{self.target}"
        self.facts.publish(
            TARGET_REPORT_KIND, key, report, ttl_ms=REPORT_TTL_MS, now_s=now_s, urgent=urgent
        )
        self.last_published, self.last_published_s = report, now_s


def is_significant_change(old: TargetReport, new: TargetReport) -> bool:
    """Return whether a change between two reports can affect target selection."""
    if old.state is not new.state:
        return True
    match old.load, new.load:
        case ReportedLoad() as before, ReportedLoad() as after:
            load_changed = (
                abs(after.in_flight - before.in_flight) >= SIGNIFICANT_LOAD_CHANGE * after.slots
            )
            return load_changed or before.slots != after.slots
        case before, after:
            return before is not after
