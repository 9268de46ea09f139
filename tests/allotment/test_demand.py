"""Tests of demand measurement."""

from wagtailbay.allotment.demand import DemandMeter


def meter_with_even_requests(per_s: int, seconds: int = 3) -> DemandMeter:
    """Return a meter that has recorded evenly spaced requests for the given time."""
    meter = DemandMeter()
    for number in range(per_s * seconds):
        meter.record(1.0, (number + 1) / per_s)
    return meter


class TestDemandMeter:
    """The meter detects jumps in demand, ignores single requests and detects the end of demand."""

    def test_fast_rate_detects_jump_before_slow_rate(self) -> None:
        """Guards against loan requests that are too small when demand jumps at one VM."""
        meter = DemandMeter()
        for number in range(16):
            meter.record(1.0, 10.0 + number / 160)
        assert meter.rate(10.1) < 20
        assert meter.expected_rate(10.1) > 50

    def test_single_request_is_not_a_jump(self) -> None:
        """Guards against borrowing tokens for a single request, which deprives other VMs."""
        meter = DemandMeter()
        meter.record(1.0, 10.0)
        assert meter.expected_rate(10.0) <= 1.0

    def test_demand_ceases_after_it_moves_away(self) -> None:
        """Guards against a lender that reserves tokens for demand that has moved to another VM."""
        meter = meter_with_even_requests(16)
        assert not meter.has_ceased(3.1)
        assert meter.has_ceased(3.4)
        assert not meter_with_even_requests(1).has_ceased(3.9)
