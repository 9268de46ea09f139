"""Plan the requests of the callers."""

import random
from typing import Protocol

from attrs import define, field, frozen

from wagtailbay_bench.prove.scenario import KEYS, SECONDARY_KEYS

# Readers ask for a few paths again and again: crashes must not hold up such neighbours.
SHARED_PATHS = ("/item/steady-1", "/item/steady-2", "/item/steady-3")


@frozen
class PlannedRequest:
    """Describe one request before it is sent; one with an idempotency key is a deposit."""

    service: str
    path: str
    workspace: str
    key_name: str
    key: str
    idempotency_key: str = ""


class Traffic(Protocol):
    """Decide what a caller sends next and how long it pauses."""

    pause_s: float

    def plan(self, trace: str, rng: random.Random) -> PlannedRequest:
        """Return the next request."""


@define
class RecordsTraffic:
    """Read and deposit records; deposits are sent again now and then."""

    workspace: str
    pause_s: float
    sent_keys: list[str] = field(factory=list)

    def plan(self, trace: str, rng: random.Random) -> PlannedRequest:
        """Return the next request."""
        use_secondary = rng.random() < 0.3
        key_name = f"{self.workspace}{'-2' if use_secondary else ''}"
        key = (SECONDARY_KEYS if use_secondary else KEYS)[self.workspace]
        idempotency_key, path = "", f"/item/{trace}"
        if rng.random() < 0.25:
            idempotency_key = self._choose_idempotency_key(trace, rng)
            path = f"/deposit/{idempotency_key}"
        elif rng.random() < 0.2:
            path = rng.choice(SHARED_PATHS)
        return PlannedRequest("records", path, self.workspace, key_name, key, idempotency_key)

    def _choose_idempotency_key(self, trace: str, rng: random.Random) -> str:
        """Return a new key, or now and then an old one as a caller that sends again."""
        if self.sent_keys and rng.random() < 0.4:
            return rng.choice(self.sent_keys)
        self.sent_keys.append(f"k-{trace}")
        return self.sent_keys[-1]


@define
class ReadTraffic:
    """Read two routes of a service evenly with one key."""

    service: str
    workspace: str
    pause_s: float

    def plan(self, trace: str, rng: random.Random) -> PlannedRequest:
        """Return the next request."""
        route = rng.choice(("item", "search"))
        key = KEYS[self.workspace]
        return PlannedRequest(
            self.service, f"/{route}/{trace}", self.workspace, self.workspace, key
        )


@define
class CrashTraffic:
    """Send one request that crashes its targets again and again."""

    path: str
    pause_s: float

    def plan(self, trace: str, rng: random.Random) -> PlannedRequest:
        """Return the same request as before."""
        return PlannedRequest("records", self.path, "small", "small", KEYS["small"])
