"""Tests of the settings of the admission queue."""

import pytest

from wagtailbay.programs.gateway_settings import parse_max_queued, parse_wait_fraction


class TestSettings:
    """Settings outside their range stop the start."""

    @pytest.mark.parametrize("text", ["-0.1", "0.51", "nan", "eighth"])
    def test_wait_fraction_out_of_range(self, text):
        """Guards against holding requests for most of their latency goal."""
        with pytest.raises(ValueError, match="expected a number from 0 to 0.5"):
            parse_wait_fraction(text)

    @pytest.mark.parametrize("text", ["0", "-1", "1.5", "100001"])
    def test_max_queued_out_of_range(self, text):
        """Guards against a queue without bound, or one that holds nothing."""
        with pytest.raises(ValueError, match="expected a whole number from 1 to 100,000"):
            parse_max_queued(text)

    def test_defaults(self):
        """Guards against a queue at deployments that set nothing."""
        assert parse_wait_fraction("") == 0
        assert parse_max_queued("") == 2_000
        assert parse_wait_fraction("0.125") == 0.125
