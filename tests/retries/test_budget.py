"""Test that retries stay a part of first tries."""

from wagtailbay.retries import RetryBudget, RetryBudgets


class TestRetryBudget:
    """Retries are earned by first tries and saved up to a capacity."""

    def test_retries_follow_first_attempts(self) -> None:
        """Guards against retries that multiply the load when every try fails."""
        budget = RetryBudget(0.15, lambda: 5.0, 1.0)
        retries = 0
        for _ in range(1_000):
            budget.record_first_attempt()
            retries += budget.take()
        assert 149 <= retries <= 151

    def test_a_larger_fleet_accumulates_no_more_retries(self) -> None:
        """Guards against 75 VMs that have each saved up what 8 VMs may."""
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
    """One service turns requests away while others are fine."""

    def test_a_failing_service_uses_its_own_requests_only(self) -> None:
        """Guards against a service that gets a fourth more than its requests (a hunt's day)."""

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
