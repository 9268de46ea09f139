"""Test what VMs count and publish, and what they expect of it."""

import math

import pytest
from regions.fleet import UNEVEN, Fleet

from wagtailbay.membership.codec import DEFAULT_CODEC
from wagtailbay.placement import LoadReport
from wagtailbay.regions.const import REGION_COUNTS_KIND
from wagtailbay.regions.models import RegionCounts, RegionCountsFact
from wagtailbay.regions.traffic import DemandTrend, RegionTraffic, TrafficCounter


class TestRegionTraffic:
    """The work time is the latency without the time in the target's queue."""

    @pytest.mark.parametrize(("waiting", "expected_s"), [(0, 1.2), (9, 0.6), (27, 0.3)])
    def test_waiting_is_not_work(self, waiting: int, expected_s: float) -> None:
        """Guards against a full region that appears to need four times as many slots."""
        traffic = RegionTraffic()
        traffic.record_answer("north", 1_200.0, LoadReport(9, waiting, 9))
        assert traffic.work_s["north"] == pytest.approx(expected_s)


class TestTrafficCounter:
    """Counts become rates."""

    def test_first_rate_counts_from_the_first_request(self) -> None:
        """Guards against a rate of the first 0.2 s that is divided by a whole second."""
        counter = TrafficCounter("north")
        counter.end_interval(9.2)
        for tick in range(20):
            counter.record_demand("records", 1_000.0, 10.0 + tick / 100)
        counts = counter.end_interval(10.2)
        assert counts.demand_per_s["records"]["north"] == pytest.approx(100.0)
        assert counter.end_interval(11.2).demand_per_s == {}


class TestRegionCounts:
    """Counts of VMs add up by service and region, and stay small."""

    def test_malformed_counts_of_a_peer_are_limited(self) -> None:
        """Guards against a negative count of one VM that hides the demand of others."""
        own = RegionCounts({"records": {"north": 5.0}}, vms={"north": 1})
        total = own.merge(RegionCounts({"records": {"north": -9.0, "east": 1e300}}))
        assert total.demand_per_s["records"] == {"north": 5.0, "east": 1e9}

    def test_malformed_counts_in_either_sum_are_limited(self) -> None:
        """Guards against the value of a peer that is merged first and so never checked."""
        data = b'{"own":{"demand_per_s":{"records":{"north":1e999,"east":7,"x":2},"u":{"x":1}}}}'
        peer = DEFAULT_CODEC.decode(REGION_COUNTS_KIND, data).ok_value.own
        total = peer.merge(RegionCounts({"records": {"west": -1.0}}))
        assert total.demand_per_s["records"] == {"east": 7.0, "x": 2.0, "west": 0.0}
        known = peer.within({"north", "east"})
        assert known.demand_per_s == {"records": {"east": 7.0}}
        away = RegionCounts(away_per_s={"records": {"north": {"east": 1.0, "x": 1.0}, "x": {}}})
        assert away.within({"north", "east"}).away_per_s == {"records": {"north": {"east": 1.0}}}

    def test_short_work_is_not_rounded_away(self) -> None:
        """Guards against a capacity without limit where requests take a few milliseconds."""
        counter = TrafficCounter("north")
        for _ in range(10):
            counter.of("records").record_answer("north", 4.0, None)
        assert counter.end_interval(1.0).work_ms["records"]["north"] == pytest.approx(40.0)

    def test_malformed_fact_is_rejected(self) -> None:
        """Guards against text in place of a count that breaks the sums of all VMs."""
        data = b'{"own":{"demand_per_s":{"records":{"north":"many"}}}}'
        assert DEFAULT_CODEC.decode(REGION_COUNTS_KIND, data).is_err()

    def test_fact_of_a_vm_is_small(self) -> None:
        """Guards against facts that use up the bytes that control may send."""
        fleet = Fleet(UNEVEN)
        fleet.run(lambda region, now_s: 250.0, 0, 4)
        own = fleet.vms[0].tracker.router.counter.end_interval(4.0)
        encoded = DEFAULT_CODEC.encode(REGION_COUNTS_KIND, RegionCountsFact(own))
        assert len(encoded.ok_value) < 400


class TestRegionTracker:
    """The sums stand for the whole fleet."""

    def test_sums_of_some_vms_are_scaled(self) -> None:
        """Guards against a plan for half of the demand while half of the VMs are not heard."""
        fleet = Fleet(UNEVEN)
        fleet.run(lambda region, now_s: 250.0, 0, 6)
        tracker = fleet.vms[0].tracker
        before = tracker.trends[("records", "north")].level_per_s
        tracker.live_vms = lambda: {"north": 8, "east": 4, "west": 4}
        for now_s in (6.0, 7.0):
            fleet.exchange(now_s)
            fleet.run(lambda region, now_s: 250.0, now_s, now_s + 1)
        assert before == pytest.approx(250.0, rel=0.1)
        assert tracker.trends[("records", "north")].level_per_s > 1.6 * before
        assert tracker.trends[("records", "east")].level_per_s < 1.2 * before

    def test_services_without_demand_are_forgotten(self) -> None:
        """Guards against memory that grows with the service names that a peer makes up."""
        fleet = Fleet(UNEVEN)
        fleet.run(lambda region, now_s: 250.0, 0, 3)
        tracker = fleet.vms[0].tracker
        assert ("records", "north") in tracker.trends
        assert "records" in tracker.router.plans
        fleet.run(lambda region, now_s: 0.0, 3, 30)
        assert not tracker.trends
        assert not tracker.router.plans
        assert not tracker.router.services


class TestDemandTrend:
    """Demand is expected for the time when a plan has taken effect."""

    def test_expected_demand_leads_a_wave(self) -> None:
        """Guards against shares that always follow a growing demand too late."""
        trend, errors, late_errors = DemandTrend(250.0, 0.0), [], []
        for tick in range(1, 72):
            demand = [250 * (1 + 0.55 * math.sin(math.tau * t / 36)) for t in (tick, tick + 2)]
            trend.observe(demand[0], float(tick))
            errors.append(abs(trend.expected_per_s() - demand[1]))
            late_errors.append(abs(demand[0] - demand[1]))
        assert sum(errors) < 0.8 * sum(late_errors)

    def test_start_of_traffic_is_no_trend(self) -> None:
        """Guards against twice the demand expected because traffic has just started."""
        trend = DemandTrend(0.0, 0.0).observe(250.0, 1.0)
        assert trend.expected_per_s() == 250.0
