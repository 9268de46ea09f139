"""Traffic patterns that determine the requests of the callers."""

import random
from typing import Protocol

from attrs import define, field, frozen

from wagtailbay_bench.prove.scenario import KEYS, SECONDARY_KEYS

# Several callers request these paths repeatedly; crashes of other requests must not block them.
SHARED_PATHS = ("/item/steady-1", "/item/steady-2", "/item/steady-3")


@frozen
class PlannedRequest:
    """Request to be sent; one with an idempotency key is a deposit."""

    service: str
    path: str
    workspace: str
    key_name: str
    key: str
    idempotency_key: str = ""


class Traffic(Protocol):
    """Traffic pattern of a caller: its requests and the mean pause between them."""

    pause_s: float

    def plan(self, trace: str, rng: random.Random) -> PlannedRequest:
        """Return the next request."""


@define
class RecordsTraffic:
    """Reads and deposits of records; some deposits repeat an earlier idempotency key."""

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
        """Return a new idempotency key or, as a retrying caller would, one sent before."""
        if self.sent_keys and rng.random() < 0.4:
            return rng.choice(self.sent_keys)
        self.sent_keys.append(f"k-{trace}")
        return self.sent_keys[-1]


@define
class ReadTraffic:
    """Reads of two routes of a service in equal parts, with one API key."""

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
    """Repeated requests of one path that crashes its targets."""

    path: str
    pause_s: float

    def plan(self, trace: str, rng: random.Random) -> PlannedRequest:
        """Return the same request as before."""
        return PlannedRequest("records", self.path, "small", "small", KEYS["small"])
