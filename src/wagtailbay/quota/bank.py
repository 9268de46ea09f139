"""Grant tokens of the workspaces whose rate this VM owns."""

from collections.abc import Mapping
from math import isfinite

from attrs import define, field

from wagtailbay.limits import TokenBucket
from wagtailbay.quota.const import (
    ASKING_WINDOW_S,
    INITIAL_SLACK_FRACTION,
    MAX_RETRY_AFTER_MS,
)
from wagtailbay.quota.models import NOT_THE_OWNER, TokenGrant
from wagtailbay.requirements import FleetRequirements
from wagtailbay.routing import Workspace


@define
class TokenBank:
    """Holds one token bucket for each workspace whose rate this VM owns.

    Attributes:
        asked_s: When each VM last asked for tokens of a workspace.
    """

    requirements: FleetRequirements = field(factory=FleetRequirements)
    buckets: dict[str, TokenBucket] = field(factory=dict)
    asked_s: dict[str, dict[str, float]] = field(factory=dict)

    def own(self, workspaces: Mapping[str, Workspace], fraction: float, now_s: float) -> None:
        """Own the rates of exactly these workspaces.

        Args:
            fraction: Part of each rate that may be granted. It is 0 while another part of the fleet
                may have another owner; the bucket is then emptied, and fills again afterwards.
        """
        for name in self.buckets.keys() - workspaces.keys():
            del self.buckets[name]
            self.asked_s.pop(name, None)
        for name, workspace in workspaces.items():
            rate_per_s, burst = workspace.rate_per_s * fraction, workspace.burst * fraction
            capacity = max(1.0, burst) if fraction else 0.0
            bucket = self.buckets.get(name)
            if bucket is None:
                initial = min(capacity, INITIAL_SLACK_FRACTION * self.requirements.quota_slack)
                self.buckets[name] = TokenBucket(rate_per_s, capacity, initial, now_s)
            elif (bucket.rate_per_s, bucket.capacity) != (rate_per_s, capacity):
                bucket.resize(rate_per_s, capacity, now_s)

    def grant(self, workspace: str, vm: str, wanted: int, now_s: float) -> TokenGrant:
        """Grant up to the wanted number of tokens to a VM."""
        bucket = self.buckets.get(workspace)
        if bucket is None or bucket.capacity <= 0:
            return NOT_THE_OWNER
        askers = self.asked_s.setdefault(workspace, {})
        askers[vm] = now_s
        bucket.refill(now_s)
        # Many small refills may leave the level slightly below a whole token.
        tokens = max(0, min(wanted, int(bucket.level + 1e-6)))
        bucket.charge(tokens, now_s)
        wait_ms = 0.0 if tokens >= wanted else self._wait_ms(bucket, askers, now_s)
        return TokenGrant(tokens, wait_ms)

    def _wait_ms(self, bucket: TokenBucket, askers: dict[str, float], now_s: float) -> float:
        """Return when a VM may expect a token, given the others that wait for one.

        With that wait, all VMs together ask about as often as there are tokens.
        """
        for vm in [vm for vm, asked_s in askers.items() if now_s - asked_s > ASKING_WINDOW_S]:
            del askers[vm]
        wait_s = bucket.wait_s(1.0)
        if not isfinite(wait_s):
            return MAX_RETRY_AFTER_MS
        queued_s = (len(askers) - 1) / bucket.rate_per_s
        return min(MAX_RETRY_AFTER_MS, (wait_s + queued_s) * 1000)
