"""Tests of checks on decoded numbers and texts."""

import pytest

from wagtailbay.decoding import MAX_COUNT, require_count, require_duration_ms, require_text


class TestText:
    """Texts are accepted if they can be encoded and are of usual length."""

    @pytest.mark.parametrize("value", ["", None, 5, ["a"], "x" * 5_000, "lone \ud800 surrogate"])
    def test_unusable_text_is_an_error(self, value):
        """Guards against a name that cannot be sent to other VMs or logged."""
        with pytest.raises(ValueError):  # noqa: PT011  The message differs for each value.
            require_text(value)


class TestCount:
    """Integers are accepted within their limits."""

    @pytest.mark.parametrize("value", [-1, MAX_COUNT + 1, True, 1.0, "1", None, float("inf")])
    def test_number_outside_the_limits_is_an_error(self, value):
        """Guards against a version that does not fit the messages between VMs."""
        with pytest.raises(ValueError, match="expected an integer"):
            require_count(value)

    def test_limits_are_accepted(self):
        """Guards against refusing the largest valid version."""
        assert require_count(MAX_COUNT) == MAX_COUNT


class TestDuration:
    """Durations are accepted up to a year."""

    @pytest.mark.parametrize("value", [-1.0, float("inf"), float("nan"), 1e300])
    def test_duration_outside_the_limits_is_an_error(self, value):
        """Guards against a time in the far future that overflows a clock."""
        with pytest.raises(ValueError, match="expected a duration"):
            require_duration_ms(value)
