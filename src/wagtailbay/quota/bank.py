"""Grant tokens of the workspaces whose rate this VM owns."""

from collections.abc import Mapping
from math import isfinite

from attrs import define, evolve, field, frozen

from wagtailbay.limits import TokenBucket
from wagtailbay.membership import TokenDemand, TokenGrant
from wagtailbay.quota.const import (
    ASKING_WINDOW_S,
    INITIAL_SLACK_FRACTION,
    LATE_ANSWER_S,
    MAX_CLOCK_RATE,
    MAX_RETRY_AFTER_MS,
    QUOTA_OVERAGE,
    QUOTA_WINDOW_S,
    SPARE_FRACTION,
    TOKEN_TTL_S,
    UNSPENT_FRACTION,
)
from wagtailbay.quota.models import NOT_THE_OWNER
from wagtailbay.requirements import FleetRequirements
from wagtailbay.routing import Workspace


@frozen
class Unspent:
    """Tokens that a VM may not have spent yet, which expire at a time of this VM's clock."""

    tokens: int
    expires_s: float


@define
class TokenBank:
    """Holds one token bucket for each workspace whose rate this VM owns.

    Attributes:
        fraction: Part of each rate that may be granted.
        asked_s: When each VM last asked for tokens of a workspace.
        unspent: Tokens of a workspace that each VM may not have spent yet.
        under_way: Tokens for requests that wait at each VM, which are spent when the answer arrives
            or expire after LATE_ANSWER_S.
    """

    requirements: FleetRequirements = field(factory=FleetRequirements)
    buckets: dict[str, TokenBucket] = field(factory=dict)
    fraction: float = 0.0
    asked_s: dict[str, dict[str, float]] = field(factory=dict)
    unspent: dict[str, dict[str, Unspent]] = field(factory=dict)
    under_way: dict[str, dict[str, Unspent]] = field(factory=dict)

    def own(self, workspaces: Mapping[str, Workspace], fraction: float, now_s: float) -> None:
        """Own the rates of exactly these workspaces.

        Args:
            fraction: Part of each rate that may be granted. It is 0 while another part of the fleet
                may have another owner; the bucket is then emptied, and fills again afterwards.
        """
        self.fraction = fraction
        for name in self.buckets.keys() - workspaces.keys():
            del self.buckets[name]
            self.unspent.pop(name, None)
            self.under_way.pop(name, None)
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
        self._settle(workspace, bucket, now_s)
        askers = self.asked_s.setdefault(workspace, {})
        askers[vm] = now_s
        # Many small refills may leave the level slightly below a whole token.
        tokens = max(0, min(wanted, int(bucket.level + 1e-6)))
        bucket.charge(tokens, now_s)
        wait_ms = 0.0 if tokens >= wanted else self._wait_ms(bucket, askers, now_s)
        return TokenGrant(tokens, wait_ms)

    def grant_demand(self, demand: TokenDemand, vm: str, now_s: float) -> TokenGrant:
        """Grant tokens to a VM that keeps them in hand, and spare ones from a well-filled bucket.

        In a window, a workspace gets at most what the bucket and the VMs hold at its start and the
        rate of the window. Both together are therefore kept within the burst and a part of the
        excess that is allowed. All tokens are charged when they are granted, so a VM that is lost
        with unspent ones costs a part of the burst and never more than the rate is admitted.
        """
        bucket = self.buckets.get(demand.workspace)
        if bucket is None or bucket.capacity <= 0:
            return NOT_THE_OWNER
        self._settle(demand.workspace, bucket, now_s)
        unspent = self.unspent[demand.workspace]
        expires_s = now_s + TOKEN_TTL_S * MAX_CLOCK_RATE
        # What the VM had after its last call counts once more: it may have spent it just now.
        spent = self.under_way[demand.workspace].pop(vm, Unspent(0, now_s))
        before = spent.tokens + (unspent[vm].tokens if vm in unspent else 0)
        unspent[vm] = Unspent(max(demand.held, before), expires_s)
        grant = self.grant(demand.workspace, vm, demand.tokens, now_s)
        spare = 0
        if grant.tokens == demand.tokens:
            spare = min(demand.spare, _even_part(bucket.level, len(unspent)) - demand.held)
        grant = evolve(grant, spare=max(0, spare))
        bucket.charge(grant.spare, now_s)
        ahead = max(0, grant.tokens - demand.waiting)
        unspent[vm] = Unspent(demand.held + ahead + grant.spare, expires_s)
        until_s = now_s + LATE_ANSWER_S * MAX_CLOCK_RATE
        self.under_way[demand.workspace][vm] = Unspent(grant.tokens - ahead, until_s)
        return grant

    def _settle(self, workspace: str, bucket: TokenBucket, now_s: float) -> None:
        """Refill a bucket, and lower it by the tokens that VMs may hold beside it.

        Tokens that have expired since the last grant are taken off at the time of their expiry, as
        they may have been spent until then.
        """
        groups = (
            self.unspent.setdefault(workspace, {}),
            self.under_way.setdefault(workspace, {}),
        )
        held = sum(kept.tokens for group in groups for kept in group.values())
        max_unspent = self._max_unspent(bucket)
        expired = [
            (kept.expires_s, vm, group)
            for group in groups
            for vm, kept in group.items()
            if kept.expires_s <= now_s
        ]
        for expires_s, vm, group in sorted(expired, key=lambda entry: entry[0]):
            bucket.refill(expires_s)
            bucket.level = min(bucket.level, max(0.0, max_unspent - held))
            held -= group.pop(vm).tokens
        bucket.refill(now_s)
        bucket.level = min(bucket.level, max(0.0, max_unspent - held))

    def _max_unspent(self, bucket: TokenBucket) -> float:
        """Return how many tokens the bucket and the VMs together may hold."""
        in_window = bucket.capacity + bucket.rate_per_s * QUOTA_WINDOW_S
        excess = QUOTA_OVERAGE * in_window + self.requirements.quota_slack * self.fraction
        return bucket.capacity + UNSPENT_FRACTION * excess

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


def _even_part(level: float, vms: int) -> int:
    """Return how many spare tokens each VM may hold, given the level of the bucket."""
    return max(int(SPARE_FRACTION * level / vms), int(level >= vms))
