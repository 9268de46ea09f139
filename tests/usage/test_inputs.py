"""Tests of settings and of facts from other VMs."""

import pytest
from usage.fleet import holder, start

from wagtailbay.membership.codec import DEFAULT_CODEC
from wagtailbay.membership.facts import Fact
from wagtailbay.platform import parse_duration_ms
from wagtailbay.programs.gateway_settings import GatewaySettings
from wagtailbay.usage import UsageSettings, parse_usage_settings
from wagtailbay.usage.const import MAX_REQUESTS
from wagtailbay.usage.models import CellUsage, WindowUsage


class TestSettings:
    """The deployment's rules are read with their units."""

    def test_values_with_units(self) -> None:
        """Guards against windows of the wrong length."""
        text = '{"report_window_ms": "5s", "lease_ms": "3000ms", "calls_per_s": "50"}'
        settings = parse_usage_settings(text, parse_duration_ms)
        assert settings == UsageSettings(report_window_ms=5_000, lease_ms=3_000, calls_per_s=50)

    def test_empty_values_switch_the_reports_off(self) -> None:
        """Guards against reports, or a refused start, in a deployment that wants no reports."""
        text = '{"report_window_ms": "", "lease_ms": "100ms", "thaw_slack_ms": "1s"}'
        assert parse_usage_settings(text, parse_duration_ms) == UsageSettings()
        assert not GatewaySettings.reports_usage.fget(_settings("", 5_000))
        assert not GatewaySettings.reports_usage.fget(_settings("127.0.0.1:1", 0))
        assert GatewaySettings.reports_usage.fget(_settings("127.0.0.1:1", 5_000))

    @pytest.mark.parametrize(
        ("text", "name"),
        [
            ('{"report_window_ms": "5s", "lease": 1}', "lease is unknown"),
            ('{"report_window_ms": "5"}', "report_window_ms"),
            ('{"report_window_ms": "5s", "tolerance": 2}', "tolerance"),
            ('{"report_window_ms": 1000, "lease_ms": 900, "thaw_slack_ms": 500}', "thaw_slack_ms"),
        ],
    )
    def test_faults_are_named(self, text: str, name: str) -> None:
        """Guards against a start with rules that are not those of the deployment."""
        with pytest.raises(ValueError, match=name):
            parse_usage_settings(text, parse_duration_ms)


def _settings(address: str, window_ms: float) -> GatewaySettings:
    return GatewaySettings(
        vm="127.0.0.1",
        availability_zone="z",
        zones={"z": "r"},
        listen_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        lookup_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        platform_address="127.0.0.1:0",
        usage_api_address=address,
        usage=UsageSettings(report_window_ms=window_ms),
    )


HUGE = 10**400


def cell_with(closed_runs: str) -> str:
    """Return a cell's sum with the given closed runs."""
    fields = '"window":1,"since_ms":1,"open_runs":[],"counts":{}'
    return f'{{{fields},"closed_runs":{closed_runs}}}'


class TestMalformedFacts:
    """A fact that cannot be counted is rejected with the name of its field."""

    @pytest.mark.parametrize(
        ("kind", "data", "field"),
        [
            ("usage", b'{"window":1,"since_ms":1,"closed":true,"counts":{"a":-1}}', "counts"),
            ("usage", b'{"window":-1,"since_ms":1,"closed":true,"counts":{}}', "window"),
            ("usage", b'{"window":1,"closed":true,"counts":{}}', "since_ms"),
            ("usage", b'{"window":1,"since_ms":1,"closed":true,"counts":[]}', "counts"),
            ("usage_cell", b'{"window":1,"since_ms":1,"open_runs":[],"counts":{}}', "closed_runs"),
            ("usage_clock", b'{"unix_ms":"x"}', "unix_ms"),
            ("usage_lease", b'{"token":-3,"version":1}', "token"),
            ("usage", b'{"window":1,"since_ms":1,"closed":true,"counts":{"a":1.7}}', "counts"),
            ("usage", b'{"window":1,"since_ms":1,"closed":true,"counts":{"a":"3"}}', "counts"),
            ("usage", b'{"window":1,"since_ms":1,"closed":"no","counts":{}}', "closed"),
            ("usage", b'{"window":true,"since_ms":1,"closed":true,"counts":{}}', "window"),
            (
                "usage",
                f'{{"window":1,"since_ms":1,"closed":true,"counts":{{"a":{HUGE}}}}}',
                "counts",
            ),
            ("usage", f'{{"window":{HUGE},"since_ms":1,"closed":true,"counts":{{}}}}', "window"),
            ("usage_cell", cell_with('"abc"'), "closed_runs"),
            ("usage_cell", cell_with('["a"]'), "closed_runs"),
            ("usage_cell", cell_with("[1]"), "closed_runs"),
            ("usage_clock", f'{{"unix_ms":{HUGE}}}', "unix_ms"),
            ("usage_clock", f'{{"unix_ms":1,"true_ms":{HUGE}}}', "true_ms"),
            ("usage_clock", b'{"unix_ms":1,"true_ms":-5}', "true_ms"),
            ("usage_lease", f'{{"token":{HUGE},"version":1}}', "token"),
            ("usage_lease", f'{{"token":1,"version":{HUGE}}}', "version"),
        ],
    )
    def test_field_is_named(self, kind: str, data: bytes | str, field: str) -> None:
        """Guards against wrong counts in the fleet's total, and times too large to calculate."""
        decoded = DEFAULT_CODEC.decode(kind, data.encode() if isinstance(data, str) else data)
        assert decoded.is_err()
        assert field in decoded.err_value

    @pytest.mark.parametrize(
        ("vm", "key"), [("vm-9", ""), ("vm-9", "9"), ("vm-9", "9/a/b"), ("a/\n", "/"), ("", "1/a")]
    )
    async def test_odd_owner_or_key_stops_no_report(self, vm: str, key: str) -> None:
        """Guards against a task that fails again and again on one fact of a peer."""
        fleet, _, _ = await start()
        facts = holder(fleet).facts
        for window in range(fleet.window() - 2, fleet.window() + 3):
            usage = WindowUsage(window, 0, True, {"odd": MAX_REQUESTS})
            facts.merge([Fact(vm, 1, "usage", f"{window}{key}", 1, usage, fleet.now_s + 60)])
            cell = CellUsage(window, 0, (f"{vm}/x",), (), usage.counts) if vm else None
            if cell is not None:
                facts.merge([Fact("vm-8", 1, "usage_cell", f"{window}", 1, cell, fleet.now_s + 60)])
        first = fleet.window() + 1
        await fleet.run(25)
        assert first in fleet.standin.reports
