"""Test token buckets."""

from wagtailbay.limits import TokenBucket


class TestTokenBucket:
    """Tokens are never created except by the rate."""

    def test_growing_capacity_brings_no_tokens(self) -> None:
        """Guards against a moved share that counts the same burst twice."""
        bucket = TokenBucket(rate_per_s=0.0, capacity=10.0, level=0.0, updated_s=0.0)
        bucket.resize(rate_per_s=0.0, capacity=100.0, now_s=5.0)
        assert not bucket.take(1.0, now_s=5.0)

    def test_time_running_backwards_brings_no_tokens(self) -> None:
        """Guards against a second refill for time already counted."""
        bucket = TokenBucket(rate_per_s=1.0, capacity=10.0, level=0.0, updated_s=0.0)
        bucket.refill(now_s=4.0)
        bucket.refill(now_s=2.0)
        bucket.refill(now_s=4.0)
        assert bucket.level == 4.0

    def test_rounding_does_not_hold_back_a_whole_token(self) -> None:
        """Guards against a budget with a burst of one that never admits a request."""
        bucket = TokenBucket(rate_per_s=1.0, capacity=1.0, level=1.0 - 1e-12, updated_s=0.0)
        assert bucket.take(1.0, now_s=0.0)
