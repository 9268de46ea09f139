"""Tests of settings and of facts from other VMs."""

import pytest

from wagtailbay.membership.codec import DEFAULT_CODEC
from wagtailbay.platform import parse_duration_ms
from wagtailbay.programs.gateway_settings import GatewaySettings
from wagtailbay.usage import UsageSettings, parse_usage_settings


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
        ],
    )
    def test_field_is_named(self, kind: str, data: bytes, field: str) -> None:
        """Guards against negative or missing counts of a peer in the fleet's total."""
        decoded = DEFAULT_CODEC.decode(kind, data)
        assert decoded.is_err()
        assert field in decoded.err_value
