"""Test token buckets."""

from wagtailbay.limits import TokenBucket


class TestTokenBucket:
    """Only the refill rate adds tokens, apart from add_tokens()."""

    def test_growing_capacity_brings_no_tokens(self) -> None:
        """Guards against counting the same burst twice when a share moves between VMs."""
        bucket = TokenBucket(rate_per_s=0.0, capacity=10.0, level=0.0, updated_s=0.0)
        bucket.resize(rate_per_s=0.0, capacity=100.0, now_s=5.0)
        assert not bucket.take(1.0, now_s=5.0)

    def test_time_running_backwards_brings_no_tokens(self) -> None:
        """Guards against refilling twice for the same time after a clock step."""
        bucket = TokenBucket(rate_per_s=1.0, capacity=10.0, level=0.0, updated_s=0.0)
        bucket.refill(now_s=4.0)
        bucket.refill(now_s=2.0)
        bucket.refill(now_s=4.0)
        assert bucket.level == 4.0

    def test_rounding_does_not_hold_back_a_whole_token(self) -> None:
        """Guards against a budget with a burst of one that rounding errors block forever."""
        bucket = TokenBucket(rate_per_s=1.0, capacity=1.0, level=1.0 - 1e-12, updated_s=0.0)
        assert bucket.take(1.0, now_s=0.0)
