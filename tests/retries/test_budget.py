"""Test that retries stay a fixed fraction of first attempts."""

from wagtailbay.retries import RetryBudget, RetryBudgets


class TestRetryBudget:
    """First attempts add tokens for retries, up to a capacity."""

    def test_retries_follow_first_attempts(self) -> None:
        """Guards against retries that multiply the load when every attempt fails."""
        budget = RetryBudget(0.15, lambda: 5.0, 1.0)
        retries = 0
        for _ in range(1_000):
            budget.record_first_attempt()
            retries += budget.take()
        assert 149 <= retries <= 151

    def test_a_larger_fleet_accumulates_no_more_retries(self) -> None:
        """Guards against 75 VMs that together accumulate more retries than 8 VMs do."""
        for vms in (8, 75):
            budgets = [RetryBudget(0.15, lambda n=vms: max(1.0, 60 / n), 1.0) for _ in range(vms)]
            for budget in budgets:
                for _ in range(500):
                    budget.record_first_attempt()
            burst = 0
            for budget in budgets:
                while budget.take():
                    burst += 1
            assert burst <= max(60, vms)


class TestRetryBudgets:
    """One service rejects requests while the others succeed."""

    def test_a_failing_service_uses_its_own_requests_only(self) -> None:
        """Guards against a service that gets a quarter more load by using others' tokens."""

        def run_load(retries: RetryBudgets, failing: str) -> int:
            retries_made = 0
            for number in range(2_000):
                for service in ("a", "b", "c"):
                    retries.for_service(service).record_first_attempt()
                retries_made += retries.for_service(failing).take() if number % 2 else 0
            return retries_made

        own = RetryBudgets(lambda: RetryBudget(0.15, lambda: 5.0, 1.0))
        assert run_load(own, "a") <= 0.15 * 2_000 + 5
        shared = RetryBudget(0.15, lambda: 5.0, 1.0)
        assert run_load(RetryBudgets(lambda: shared), "a") > 0.2 * 2_000 + 5
