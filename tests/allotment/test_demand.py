"""Test the meters of demand."""

from wagtailbay.allotment.demand import DemandMeter


def meter_with_even_requests(per_s: int, seconds: int = 3) -> DemandMeter:
    """Return a meter that saw evenly spaced requests until the given time."""
    meter = DemandMeter()
    for number in range(per_s * seconds):
        meter.record(1.0, (number + 1) / per_s)
    return meter


class TestDemandMeter:
    """A jump shows at once, and a single request is no jump."""

    def test_fast_rate_detects_jump_before_slow_rate(self) -> None:
        """Guards against orders that are too small while the tokens of one VM run out."""
        meter = DemandMeter()
        for number in range(16):
            meter.record(1.0, 10.0 + number / 160)
        assert meter.rate(10.1) < 20
        assert meter.expected_rate(10.1) > 50

    def test_single_request_is_not_a_jump(self) -> None:
        """Guards against tokens that are ordered for one request and lost by others."""
        meter = DemandMeter()
        meter.record(1.0, 10.0)
        assert meter.expected_rate(10.0) <= 1.0

    def test_demand_ceases_after_it_moves_away(self) -> None:
        """Guards against a lender that keeps its tokens for demand that another VM has now."""
        meter = meter_with_even_requests(16)
        assert not meter.has_ceased(3.1)
        assert meter.has_ceased(3.4)
        assert not meter_with_even_requests(1).has_ceased(3.9)
