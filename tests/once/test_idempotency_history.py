"""Test histories of several VMs that use one faulty store."""

from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailbay.refusals import Refusal, RunState
from wagtailbay_bench.once_history import OnceFleet, random_fleet


class TestIdempotencyHistory:
    """Tests of P7 and P8 under lost responses, outages, VM crashes and retries."""

    @settings(derandomize=True, max_examples=100, deadline=None, database=None)
    @given(st.integers(0, 2**32))
    def test_no_key_runs_twice(self, seed: int) -> None:
        """Guards against keys that run twice, get a false "not run" or a wrong outcome.

        A wrong outcome is that of another request.
        """
        assert random_fleet(seed).run().violations() == []

    def test_check_detects_missing_claims(self) -> None:
        """Guards against a history check that misses requests sent without a claim."""
        assert any(random_fleet(seed, skip_claim=True).run().violations() for seed in range(20))

    def test_check_detects_lost_answers_taken_as_success(self) -> None:
        """Guards against a history check that misses lost responses treated as success.

        This shows that the histories contain lost responses that affect the result.
        """
        fleets = (random_fleet(seed, trust_lost_answers=True) for seed in range(200))
        assert any(fleet.run().violations() for fleet in fleets)

    def test_histories_cover_every_kind_of_result(self) -> None:
        """Guards against random histories that lack outcomes or a relevant refusal.

        They produce outcomes and each relevant refusal.
        """
        results = [a.result for seed in range(30) for a in random_fleet(seed).run().results]
        refusals = {(r.code, r.run) for r in results if isinstance(r, Refusal)}
        assert len(results) > sum(isinstance(r, Refusal) for r in results)
        assert {
            ("outcome_unknown", RunState.UNKNOWN),
            ("claim_unavailable", RunState.NOT_RUN),
            ("idempotency_key_reused", RunState.NOT_RUN),
        } <= refusals

    def test_same_seed_repeats_history(self) -> None:
        """Guards against a seed that produces different histories.

        A seed always produces the same history.
        """
        first, second = (
            [
                (a.submission, a.result)
                for a in OnceFleet(f.steps, f.faults, f.outages).run().results
            ]
            for f in (random_fleet(7), random_fleet(7))
        )
        assert first == second
