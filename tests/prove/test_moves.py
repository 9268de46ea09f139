"""Test the checks of moves to a new version on synthetic histories."""

from attrs import evolve
from prove.histories import MOVE, HistoryBuilder

from wagtailbay_bench.prove.checks.moves import check_bad_versions, check_shift_cap


def add_requests(
    builder: HistoryBuilder, new_every: int, count: int = 200, **changes: object
) -> None:
    """Add 20 requests/s and send every `new_every`-th of them to the new version."""
    for number in range(1, count + 1):
        is_new = number % new_every == 0
        request_changes = changes if is_new else {}
        builder.add_request(number / 20, "new" if is_new else "old", **request_changes)


class TestShiftCap:
    """A new version stays within the share of its steps and its cap."""

    def test_even_share_passes(self) -> None:
        """Guards against a check that rejects exactly the allowed share."""
        builder = HistoryBuilder(move=MOVE)
        builder.add_step(0.0, 250_000)
        add_requests(builder, 4)
        assert not list(check_shift_cap(builder.history))

    def test_too_large_share(self) -> None:
        """Guards against a check that misses a share above the step's."""
        builder = HistoryBuilder(move=MOVE)
        builder.add_step(0.0, 250_000)
        add_requests(builder, 3)
        assert [v.property_id for v in check_shift_cap(builder.history)]

    def test_first_request_too_early(self) -> None:
        """Guards against a first request to the new version before its share allows one."""
        builder = HistoryBuilder(move=MOVE)
        builder.add_step(0.0, 20_000)
        add_requests(builder, 49, count=49)
        assert [v.property_id for v in check_shift_cap(builder.history)] == ["P1"]

    def test_unused_share_does_not_hide_late_excess(self) -> None:
        """Guards against a check that only sums over the whole history.

        Share left unused before a step must not make up for an excess after it.
        """
        builder = HistoryBuilder(move=MOVE)
        builder.add_step(0.0, 250_000)
        add_requests(builder, 1_000, count=100)
        builder.add_step(5.5, 250_000)
        for number in range(20):
            builder.add_request(6 + number / 20, "new")
        assert [v.property_id for v in check_shift_cap(builder.history)] == ["P1"]

    def test_step_above_maximum(self) -> None:
        """Guards against a step that raises the share by more than the plan allows."""
        builder = HistoryBuilder(move=MOVE)
        builder.add_step(0.0, 20_000)
        builder.add_step(5.0, 300_000)
        assert len(list(check_shift_cap(builder.history))) == 1

    def test_cap(self) -> None:
        """Guards against requests/s above the cap, and a check that rejects a rate below it."""
        for cap_per_s, is_violation in ((5.0, False), (3.0, True)):
            builder = HistoryBuilder(move=evolve(MOVE, cap_per_s=cap_per_s))
            builder.add_step(0.0, 250_000)
            add_requests(builder, 4)
            assert bool(list(check_shift_cap(builder.history))) is is_violation


class TestBadVersions:
    """A bad version is rolled back in time, and a good one is not."""

    def test_traffic_after_detection(self) -> None:
        """Guards against a failing version that keeps receiving requests."""
        builder = HistoryBuilder(move=evolve(MOVE, kind="fails-at-once"))
        add_requests(builder, 4, count=400, status=500)
        messages = [v.message for v in check_bad_versions(builder.history)]
        assert any("bad version after the bound" in message for message in messages)
        assert any("bad responses of the new version" in message for message in messages)

    def test_stopped_in_time(self) -> None:
        """Guards against a check that reports a bad version that was rolled back in time."""
        builder = HistoryBuilder(move=evolve(MOVE, kind="fails-at-once"))
        add_requests(builder, 20, count=220, status=500)
        add_requests(builder, 1_000, count=400)
        assert not list(check_bad_versions(builder.history))

    def test_slow_version(self) -> None:
        """Guards against a check that accepts slow responses as good ones."""
        builder = HistoryBuilder(move=evolve(MOVE, kind="slow"))
        add_requests(builder, 4, count=400, response_time_s=0.6)
        assert list(check_bad_versions(builder.history))

    def test_good_version_rolled_back(self) -> None:
        """Guards against the rollback of a good version."""
        builder = HistoryBuilder(move=MOVE)
        builder.add_step(0.0, 20_000)
        assert not list(check_bad_versions(builder.history))
        builder.add_step(3.0, 0, "rolled_back")
        assert list(check_bad_versions(builder.history))

    def test_good_version_not_finished(self) -> None:
        """Guards against a good version whose move does not finish by its deadline."""
        builder = HistoryBuilder(move=MOVE, ended_unix_s=2_000.0)
        builder.add_step(0.0, 20_000)
        assert list(check_bad_versions(builder.history))
        builder.add_step(900.0, 1_000_000, "finished")
        assert not list(check_bad_versions(builder.history))
