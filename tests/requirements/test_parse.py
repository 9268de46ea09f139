"""Tests of parsing the requirements that a deployment states."""

import json

import pytest
from attrs import fields

from wagtailbay.platform import parse_duration_ms
from wagtailbay.requirements import FleetRequirements, parse_requirements
from wagtailbay.requirements.const import LIMITS_BY_NAME


class TestParseRequirements:
    """Stated values replace the defaults, and every fault of a value is reported."""

    def test_stated_values_are_used(self):
        """Guards against limits that fit one deployment and are wrong for another."""
        text = json.dumps({"target_drain_ms": "4s", "retry_extra": "430", "retry_ratio": 0.3})
        stated = parse_requirements(text, parse_duration_ms)
        assert (stated.target_drain_ms, stated.retry_extra) == (4_000.0, 430.0)
        assert stated.retry_ratio == 0.3

    def test_empty_value_keeps_the_default(self):
        """Guards against a VM that does not start where a deployment states only some values."""
        text = json.dumps({"exposure_share": "", "cold_slack": None})
        assert parse_requirements(text, parse_duration_ms) == FleetRequirements()

    def test_all_faults_are_reported(self):
        """Guards against finding the faults of a deployment one start at a time."""
        text = json.dumps(
            {"target_drain_ms": "soon", "retry_ratio": -1, "cold_slack": "nan", "speed": 3}
        )
        with pytest.raises(ValueError, match="cold_slack.*retry_ratio.*speed.*target_drain_ms"):
            parse_requirements(text, parse_duration_ms)

    @pytest.mark.parametrize("text", ["", "[]", "7", "{", '{"retry_ratio": [1]}'])
    def test_malformed_text_is_an_error(self, text):
        """Guards against starting with defaults because the stated values are unreadable."""
        with pytest.raises(ValueError):  # noqa: PT011  The message differs for each value.
            parse_requirements(text, parse_duration_ms)

    def test_every_requirement_has_limits(self):
        """Guards against a requirement that accepts any value."""
        assert LIMITS_BY_NAME.keys() == {a.name for a in fields(FleetRequirements)}
