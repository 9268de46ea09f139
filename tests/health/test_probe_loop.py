"""Test probing of a single target."""

import random
from typing import Any

import pytest
from attrs import define, field
from result import Err, Ok

from wagtailbay.health import ProbeLoop, ReportedLoad, TargetState
from wagtailbay.health.const import TARGET_REPORT_KIND
from wagtailbay.membership import FactTable
from wagtailbay.transport import FailureKind, Request, Response, TransportError

CONNECT_REFUSED = Err(TransportError(FailureKind.CONNECT, "refused", False))


@define
class FakeEndpoint:
    """Endpoint that returns the responses set by a test."""

    health: Any = field(factory=lambda: Ok(Response(200, (), b'{"state": "ok"}')))
    load: Any = field(factory=lambda: Ok(Response(200, (), b'{"in_flight": 1, "slots": 4}')))
    requested_paths: list[str] = field(factory=list)

    async def __call__(self, address: str, request: Request, timeout_ms: int) -> Any:
        """Return the configured response and record the path."""
        self.requested_paths.append(request.path)
        return self.health if request.path == "/health" else self.load


@define
class ProbeFixture:
    """A probe loop with a fake endpoint and clock."""

    endpoint: FakeEndpoint = field(factory=FakeEndpoint)
    facts: FactTable = field(factory=lambda: FactTable("vm-1", 1))
    now_s: float = 10.0
    loop: ProbeLoop = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.loop = ProbeLoop(
            "records", "t1", "", self.facts, lambda: self.now_s, random.Random(1), self.endpoint
        )

    async def probe(self) -> Any:
        """Advance the clock by a second, probe once and return the published report."""
        self.now_s += 1.0
        await self.loop.probe()
        found = list(self.facts.of_kind(TARGET_REPORT_KIND, self.now_s))
        return found[0].value if found else None


class TestProbeLoop:
    """Tests of target states and published reports."""

    async def test_single_probe_failure_is_tolerated(self) -> None:
        """Guards against a target marked as failed after a single lost response."""
        probe = ProbeFixture()
        await probe.probe()
        probe.endpoint.health = CONNECT_REFUSED
        assert (await probe.probe()).state is TargetState.OK
        assert (await probe.probe()).state is TargetState.FAILED

    async def test_unhealthy_response_fails_target_immediately(self) -> None:
        """Guards against a target that reports itself unhealthy but isn't failed immediately."""
        probe = ProbeFixture()
        probe.endpoint.health = Ok(Response(503, (), b"{}"))
        assert (await probe.probe()).state is TargetState.FAILED

    async def test_malformed_load_does_not_change_state(self) -> None:
        """Guards against a target marked as failed because its load endpoint is broken."""
        probe = ProbeFixture()
        probe.endpoint.load = Ok(Response(200, (), b"\xff"))
        report = await probe.probe()
        assert (report.state, report.load) == (TargetState.OK, None)

    @pytest.mark.parametrize(
        ("load", "requested_paths"),
        [
            (b', "in_flight": 2, "slots": 6', ["/health"]),
            (b"", ["/health", "/load"]),
            (b', "in_flight": "2", "slots": 6', ["/health", "/load"]),
            (b', "in_flight": 2', ["/health", "/load"]),
        ],
    )
    async def test_load_in_health_response_saves_load_request(
        self, load: bytes, requested_paths: list[str]
    ) -> None:
        """Guards against a needless load request, or a missing one.

        The load is requested separately only if the health response lacks it.
        """
        probe = ProbeFixture()
        probe.endpoint.health = Ok(Response(200, (), b'{"state": "ok"' + load + b"}"))
        report = await probe.probe()
        assert probe.endpoint.requested_paths == requested_paths
        assert report.load == (
            ReportedLoad(2.0, 6) if len(requested_paths) == 1 else ReportedLoad(1.0, 4)
        )

    async def test_unchanged_report_is_published_every_second_probe(self) -> None:
        """Guards against unchanged reports that are published after every probe.

        The check fails if every report is published.
        """

        async def check(significant_changes_only: bool) -> None:
            probe = ProbeFixture()
            probe.loop.significant_changes_only = significant_changes_only
            for _ in range(10):
                await probe.probe()
            assert probe.facts.sequence == 5

        await check(significant_changes_only=True)
        with pytest.raises(AssertionError):
            await check(significant_changes_only=False)

    async def test_draining_is_published_urgently(self) -> None:
        """Guards against a drain that reaches peers only with the next exchange.

        It is sent without waiting for that exchange.
        """
        probe = ProbeFixture()
        await probe.probe()
        event = probe.facts.changed._event
        probe.endpoint.health = Ok(Response(200, (), b'{"state": "draining"}'))
        assert (await probe.probe()).state is TargetState.DRAINING
        assert event.is_set()
