"""Test the checks of individual requests on synthetic histories."""

from prove.histories import HistoryBuilder

from wagtailbay_bench.prove.checks.requests import (
    check_answers,
    check_at_most_once,
    check_keys,
    check_limits,
    check_refusals,
)
from wagtailbay_bench.prove.models import Withdrawal


class TestKeys:
    """A request runs only with a valid key and for that key's workspace."""

    def test_withdrawn_key(self) -> None:
        """Guards against a withdrawn key that is still accepted after the bound.

        The bound counts from the first withdrawal, also if the key is withdrawn again.
        """
        for sent_s, is_violation in ((5.0, False), (10.0, True)):
            builder = HistoryBuilder(withdrawals=[Withdrawal("w", 2.0), Withdrawal("w", 9.0)])
            builder.add_request(sent_s, "t")
            assert bool(list(check_keys(builder.history))) is is_violation

    def test_other_workspace(self) -> None:
        """Guards against a run for a workspace other than the key's."""
        builder = HistoryBuilder()
        builder.add_request(1.0, "t", workspace="other")
        assert list(check_keys(builder.history))


class TestLimits:
    """A workspace's runs stay within its rate and burst."""

    def test_rate(self) -> None:
        """Guards against a workspace that exceeds its rate several times over."""
        for rate_per_s, is_violation in ((10, False), (40, True)):
            builder = HistoryBuilder(workspace_limits={"w": (10.0, 20.0)})
            for number in range(20 * rate_per_s):
                builder.add_request(number / rate_per_s, "t")
            assert bool(list(check_limits(builder.history))) is is_violation

    def test_short_excess(self) -> None:
        """Guards against a short excess that the allowed delay before a run would hide."""
        builder = HistoryBuilder(workspace_limits={"w": (10.0, 20.0)})
        for number in range(40):
            builder.add_request(number / 40, "t")
        assert list(check_limits(builder.history))


class TestAnswers:
    """A response belongs to the request that received it."""

    def test_response_to_other_request(self) -> None:
        """Guards against a caller that receives the response to another request."""
        builder = HistoryBuilder()
        builder.add_request(1.0, "t", response_body={"trace": "t0", "path": "/item"})
        assert not list(check_answers(builder.history))
        builder.add_request(2.0, "t", response_body={"trace": "t0", "path": "/item"})
        assert len(list(check_answers(builder.history))) == 1


class TestRefusals:
    """A request reported as not_run has not run."""

    def test_refused_request_ran(self) -> None:
        """Guards against a refused request that a target ran."""
        builder = HistoryBuilder()
        builder.add_request(1.0, "", status=503, run_state="not_run")
        assert not list(check_refusals(builder.history))
        builder.add_request(1.0, "t", status=503, run_state="not_run")
        assert len(list(check_refusals(builder.history))) == 1


class TestAtMostOnce:
    """A deposit runs at most once, and exactly once if it was reported as successful."""

    def test_key_runs_twice(self) -> None:
        """Guards against a deposit that runs twice for one idempotency key."""
        builder = HistoryBuilder()
        builder.add_request(1.0, "t", idempotency_key="k")
        assert not list(check_at_most_once(builder.history))
        builder.add_request(2.0, "t", idempotency_key="k")
        assert len(list(check_at_most_once(builder.history))) == 1

    def test_success_without_run(self) -> None:
        """Guards against a deposit that is reported as successful but was lost."""
        builder = HistoryBuilder()
        builder.add_request(1.0, "", idempotency_key="k")
        assert list(check_at_most_once(builder.history))
