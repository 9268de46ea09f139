"""Tests of the figures that script/measure prints."""

import pytest

from wagtailbay_bench.load import Sample
from wagtailbay_bench.measure.figures import build_caller_figures


def make_sample(service: str, latency_ms: float, status: int = 200) -> Sample:
    """Build the sample of one request to a service."""
    name = f"{service}/unam"
    return Sample(name, "unam", 0.0, latency_ms, status, "", "", "", "", "", "", 1)


class TestCallerFigures:
    """Each group of callers has its own percentiles."""

    def test_slow_deposits_do_not_hide_fast_readers(self) -> None:
        """Guards against percentiles that mix readers and deposits."""
        samples = [make_sample("records", 10.0)] * 3 + [make_sample("fulltext", 20.0)]
        samples += [make_sample("deposits", 300.0)] * 2 + [make_sample("deposits", 5.0, status=429)]
        deposits, readers = build_caller_figures(samples)
        assert (deposits.callers, deposits.sent) == ("deposits", 3)
        assert deposits.answered_pct == pytest.approx(200 / 3)
        assert deposits.p50_ms == pytest.approx(300.0, rel=0.01)
        assert (readers.callers, readers.sent) == ("readers", 4)
        assert readers.p50_ms == pytest.approx(10.0, rel=0.01)
        assert readers.p999_ms == pytest.approx(20.0, rel=0.01)
        assert "readers_p99_ms=20.0" in readers.format_pairs()
