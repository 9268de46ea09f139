"""Remove claims that are older than callers are promised."""

from collections.abc import Callable, Iterator

import trio
from attrs import define, field
from result import Err, Ok

from wagtailbay.logs import log_event
from wagtailbay.once.const import (
    CONCURRENT_DELETES,
    DELETES_PER_STEP,
    EXPIRY_MARGIN_S,
    EXPIRY_S,
    OBJECT_PREFIX,
    OPEN_WORKSPACE,
    SHARD_DIGITS,
    SWEEP_INTERVAL_S,
)
from wagtailbay.once.wire import decode_record
from wagtailbay.store import ObjectStore, StoredObject


@define
class ExpirySweep:
    """Go through the claims in shards of bounded size; run by the lease holder.

    Attributes:
        workspaces: Returns the workspaces of all services.
        shards: The shards left in this round.
    """

    store: ObjectStore
    workspaces: Callable[[], tuple[str, ...]]
    unix_time: Callable[[], float]
    shards: Iterator[str] = field(factory=lambda: iter(()))

    async def run(self, is_holder: Callable[[], bool]) -> None:
        """Sweep one shard at a time while this VM holds the lease."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            if is_holder():
                await self.step(self.unix_time())

    async def step(self, now_unix_s: float) -> int:
        """Sweep the next shard and return the number of claims removed."""
        prefix = next(self.shards, None)
        if prefix is None:
            self.shards = self._round()
            prefix = next(self.shards)
        listing = await self.store.list((prefix,))
        if isinstance(listing, Err):
            log_event("expiry_failed", prefix=prefix, reason=listing.err_value.message)
            return 0
        found = (item for item in listing.ok_value.objects if is_expired(item, now_unix_s))
        expired = [item for item, _ in zip(found, range(DELETES_PER_STEP), strict=False)]
        removed = [0]
        async with trio.open_nursery() as nursery:
            for first in range(min(CONCURRENT_DELETES, len(expired))):
                nursery.start_soon(self._delete, expired[first::CONCURRENT_DELETES], removed)
        return removed[0]

    async def _delete(self, items: list[StoredObject], removed: list[int]) -> None:
        for item in items:
            if isinstance(await self.store.delete(item.key, item.version), Ok):
                removed[0] += 1

    def _round(self) -> Iterator[str]:
        for workspace in (*sorted(self.workspaces()), OPEN_WORKSPACE):
            for shard in range(16**SHARD_DIGITS):
                yield f"{OBJECT_PREFIX}{workspace}/{shard:0{SHARD_DIGITS}x}"


def is_expired(item: StoredObject, now_unix_s: float) -> bool:
    """Tell whether a claim may be removed; an unreadable one is kept."""
    decoded = decode_record(item.value)
    if isinstance(decoded, Err):
        return False
    age_s = now_unix_s - decoded.ok_value.claimed_unix_s
    return age_s > EXPIRY_S + EXPIRY_MARGIN_S
