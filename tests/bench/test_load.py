"""Tests of the load generator."""

from pathlib import Path

from result import Err, Ok

from wagtailbay.transport import Response
from wagtailbay_bench.load import LoadPlan, TrafficClass, summarize
from wagtailbay_bench.load.client import CallResult
from wagtailbay_bench.load.program import read_plan
from wagtailbay_bench.load.runner import build_arrivals, build_sample

READER_CLASS = TrafficClass("readers", "records", "/item/{n}", "unam", 50.0, ("a1",))
PLAN_TOML = """
duration_s = 2
seed = 7
keys = {unam = "key"}
seeds = {a1 = ["127.0.0.1:1"]}
[[classes]]
name = "readers"
service = "records"
path = "/item/{n}"
workspace = "WORKSPACE"
rate_per_s = 5
availability_zones = ["a1"]
"""


class TestArrivals:
    """The schedule follows from the seed and is bounded in time and number of requests."""

    def test_same_seed_gives_the_same_times(self) -> None:
        """Guards against schedules that differ between runs with the same seed."""
        plan = LoadPlan((READER_CLASS,), 4.0, seed=7)
        assert build_arrivals(plan) == build_arrivals(plan)
        assert all(due_s < 4.0 for due_s, _ in build_arrivals(plan))

    def test_request_count_is_bounded(self) -> None:
        """Guards against a schedule that exceeds max_requests."""
        assert len(build_arrivals(LoadPlan((READER_CLASS,), 1e3, seed=7, max_requests=10))) == 10


class TestSummary:
    """Refusals and successful responses are counted for each class."""

    def test_refusal_within_rate_is_counted(self) -> None:
        """Guards against rate refusals that are missing from the summary."""
        body = b'{"error": {"code": "rate_exceeded", "run": "not_run"}}'
        refused_result = CallResult(Ok(Response(429, (), body)), 1)
        answered_result = CallResult(Ok(Response(200, (), b'{"version": "v1"}')), 1)
        samples = [
            build_sample(READER_CLASS, 0.1, 5.0, "", refused_result),
            build_sample(READER_CLASS, 0.2, 7.0, "", answered_result),
        ]
        report = summarize(LoadPlan((READER_CLASS,), 1.0, 7), samples, {})
        assert (report.refused_within_rate, report.answered) == (1, 1)
        assert report.worst_workspace_answered == 0.5
        assert report.classes[0].refused_by_code == {"rate_exceeded": 1}


class TestPlanFile:
    """An invalid plan file is rejected with a message that states the error."""

    def test_workspace_without_key_is_named(self, tmp_path: Path) -> None:
        """Guards against a run whose requests have no API key."""
        path = tmp_path / "plan.toml"
        path.write_text(PLAN_TOML.replace("WORKSPACE", "unam"))
        assert isinstance(read_plan(path), Ok)
        path.write_text(PLAN_TOML.replace("WORKSPACE", "ipn"))
        assert "no key for workspace 'ipn'" in read_plan(path).unwrap_err()
        path.write_text("seed = [")
        assert isinstance(read_plan(path), Err)
