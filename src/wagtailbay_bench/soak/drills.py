"""Returns of a soak's store from older copies, and the changes that VMs must follow afterwards."""

from collections import deque
from typing import Final

import trio
from attrs import define, evolve, field

from wagtailbay_bench.soak.const import CONFIG_APPLY_S, TARGET_DRAIN_S
from wagtailbay_bench.soak.documents import build_config
from wagtailbay_bench.soak.models import Drill, FollowedChange
from wagtailbay_bench.soak.site import (
    ENTRY_LAPSE_S,
    ROUTES,
    SoakSite,
    TargetPlace,
    build_workspaces,
)
from wagtailbay_standins.objects import ObjectCopy

COPY_INTERVAL_S: Final = 0.5
COPIES_KEPT: Final = 18
STORE_AWAY_RANGE_S: Final = (0.2, 2.0)
# After the return, the operator and the targets write again within this time.
REWRITE_RANGE_S: Final = (0.0, 2.0)
# After the return, the bounds of changes hold again after the time for which VMs count as in touch.
SETTLED_S: Final = 6.0
MAX_DRILLS_IN_SERIES: Final = 3
# Writes of others before the store goes away. With many of them, revisions stay behind the known
# ones long after the return; with none, they soon pass them.
LOST_WRITES: Final = (0, 100, 500)
# Share of drills before which the operator and the targets write; VMs know of it after a moment.
LOST_CHANGE_SHARE: Final = 0.7
KNOWN_AFTER_S: Final = 0.4
# Kinds of objects that the VMs write.
OWN_KIND_PREFIX: Final = "wagtailbay-"


@define
class DrillRunner:
    """Takes the store of a site away and brings it back from a copy.

    Attributes:
        copies: Copies of the store, the oldest first.
        lock: Held during a series of drills with changes afterwards.
    """

    site: SoakSite
    copies: deque[ObjectCopy] = field(factory=lambda: deque(maxlen=COPIES_KEPT))
    lock: trio.Lock = field(factory=trio.Lock)

    async def copy_store(self) -> None:
        """Copy the store periodically until cancelled."""
        while True:
            if not self.site.api.is_away:
                self.copies.append(self.site.api.copy())
            await trio.sleep(COPY_INTERVAL_S)

    async def run_series(self) -> None:
        """Run a series of drills, and make changes that the VMs must follow when it has ended."""
        if self.lock.locked():
            return
        async with self.lock:
            for _ in range(self.site.random.randint(1, MAX_DRILLS_IN_SERIES)):
                await self.run_drill()
            await trio.sleep(SETTLED_S)
            await self._change_and_wait()

    async def run_drill(self) -> None:
        """Take the store away and bring it back from an older copy."""
        site, api = self.site, self.site.api
        if api.is_away:
            return
        copies = tuple(self.copies)
        await self._write_what_is_lost()
        api.is_away = True
        api.table.changed.notify()
        await trio.sleep(site.random.uniform(*STORE_AWAY_RANGE_S))
        copy = site.random.choice(copies)
        reissued_revisions = api.table.revision - copy[0]
        lost_keys = api.restore(copy)
        lost_own = sum(key.startswith(OWN_KIND_PREFIX) for key in lost_keys)
        site.history.drills.append(
            Drill(trio.current_time(), len(lost_keys), lost_own, reissued_revisions)
        )
        self.copies.clear()
        self.copies.append(copy)
        api.is_away = False
        self._forget_ended_targets()
        for place in site.places:
            site.nursery.start_soon(self._register_again, place)
        await trio.sleep(site.random.uniform(*REWRITE_RANGE_S))
        if site.config is not None:
            api.put_spec("config", "main", site.config)

    async def _write_what_is_lost(self) -> None:
        """Write a configuration, entries and objects of others, which no copy has yet."""
        site = self.site
        for number in range(site.random.choice(LOST_WRITES)):
            site.api.put_spec("others", "x", {"number": number})
        if site.random.random() < LOST_CHANGE_SHARE:
            self._write_config(build_workspaces())
            for place in site.places:
                if place.running:
                    place.register()
            await trio.sleep(KNOWN_AFTER_S)

    def _forget_ended_targets(self) -> None:
        """Let the entries lapse that only the copy has."""
        names = {place.target.name for place in self.site.places}
        for kind, _, name in [key.partition("/") for key in self.site.api.table.objects]:
            if kind == "servers" and name not in names:
                self.site.forget_later(name, ENTRY_LAPSE_S)

    async def _register_again(self, place: TargetPlace) -> None:
        await trio.sleep(self.site.random.uniform(*REWRITE_RANGE_S))
        if place.running:
            place.register()

    async def _change_and_wait(self) -> None:
        """Withdraw a key and remove a target, and take both back once VMs must have followed."""
        site, now_s = self.site, trio.current_time()
        workspaces = build_workspaces()
        withdrawn = site.random.choice([w for w in workspaces if not w.rate_per_s])
        changed = [evolve(w, key="unused") if w is withdrawn else w for w in workspaces]
        self._write_config(changed)
        place = site.random.choice([place for place in site.places if place.running])
        site.api.remove("servers", place.target.name)
        await trio.sleep(max(CONFIG_APPLY_S, TARGET_DRAIN_S) + 2.0)
        until_s = trio.current_time()
        site.history.changes += [
            FollowedChange("key", withdrawn.key, now_s, until_s),
            FollowedChange("target", place.target.name, now_s, until_s),
        ]
        place.crash()
        await place.start(site.nursery)
        self._write_config(workspaces)
        await trio.sleep(CONFIG_APPLY_S)

    def _write_config(self, workspaces: list) -> None:
        site = self.site
        site.version += 1
        site.config = build_config(f"{site.version:08x}", ROUTES, workspaces)
        site.api.put_spec("config", "main", site.config)
