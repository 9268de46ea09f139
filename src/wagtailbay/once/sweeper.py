"""Delete claims whose retention period has passed."""

from collections.abc import Callable, Iterator

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.logs import log_event
from wagtailbay.once.const import (
    CLAIM_KEY_PREFIX,
    CLAIM_RETENTION_MARGIN_S,
    CLAIM_RETENTION_S,
    MAX_CONCURRENT_DELETES,
    MAX_DELETES_PER_SHARD,
    OPEN_ROUTE_WORKSPACE,
    SHARD_HEX_DIGITS,
    SWEEP_INTERVAL_S,
)
from wagtailbay.once.wire import decode_claim
from wagtailbay.store import ObjectStore, StoredObject


@define
class ClaimSweeper:
    """Deletes expired claims, one bounded shard at a time; only the lease holder runs it.

    Attributes:
        workspaces: Returns the workspaces of all services.
        remaining_shards: Object key prefixes still to be swept in the current pass.
    """

    store: ObjectStore
    workspaces: Callable[[], tuple[str, ...]]
    unix_time: Callable[[], float]
    remaining_shards: Iterator[str] = field(factory=lambda: iter(()))

    async def run(self, holds_lease: Callable[[], bool]) -> None:
        """Sweep one shard per interval while this VM holds the lease."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            if holds_lease():
                await self.sweep_shard(self.unix_time())

    async def sweep_shard(self, now_unix_s: float) -> int:
        """Sweep the next shard and return the number of deleted claims."""
        prefix = next(self.remaining_shards, None)
        if prefix is None:
            self.remaining_shards = self._shard_prefixes()
            prefix = next(self.remaining_shards)
        listing = await self.store.list((prefix,))
        if isinstance(listing, Err):
            log_event("expiry_failed", prefix=prefix, reason=listing.err_value.message)
            return 0
        expired_claims = (item for item in listing.ok_value.objects if is_expired(item, now_unix_s))
        batch = [
            item for item, _ in zip(expired_claims, range(MAX_DELETES_PER_SHARD), strict=False)
        ]
        deleted = [0]
        async with trio.open_nursery() as nursery:
            for offset in range(min(MAX_CONCURRENT_DELETES, len(batch))):
                nursery.start_soon(
                    self._delete_claims, batch[offset::MAX_CONCURRENT_DELETES], deleted
                )
        return deleted[0]

    async def _delete_claims(self, items: list[StoredObject], deleted: list[int]) -> None:
        for item in items:
            if isinstance(await self.store.delete(item.key, item.version), Ok):
                deleted[0] += 1

    def _shard_prefixes(self) -> Iterator[str]:
        for workspace in (*sorted(self.workspaces()), OPEN_ROUTE_WORKSPACE):
            for shard in range(16**SHARD_HEX_DIGITS):
                yield f"{CLAIM_KEY_PREFIX}{workspace}/{shard:0{SHARD_HEX_DIGITS}x}"


def is_expired(item: StoredObject, now_unix_s: float) -> bool:
    """Return whether a claim has expired; a claim that cannot be decoded is kept."""
    decoded = decode_claim(item.value)
    if isinstance(decoded, Err):
        return False
    age_s = now_unix_s - decoded.ok_value.claimed_unix_s
    return age_s > CLAIM_RETENTION_S + CLAIM_RETENTION_MARGIN_S
