"""Send requests as a well-behaved caller does: to the VMs that the system names."""

import json
from collections.abc import Callable, Sequence

from attrs import define, field, frozen
from result import Err, Ok, Result

from wagtailbay.transport import ConnectionPool, FailureKind, Request, Response, TransportError

LOCATE_TIMEOUT_MS = 1_000
MAX_ATTEMPTS = 3


@frozen
class CallResult:
    """Hold the last answer or failure and how many VMs were asked."""

    outcome: Result[Response, TransportError]
    attempts: int


@define
class LocatingClient:
    """Call through the entry VMs of the newest locate answer.

    Attributes:
        seeds: Addresses of entry VMs asked when no answer is held.
    """

    name: str
    availability_zone: str
    seeds: Sequence[str]
    clock: Callable[[], float]
    pool: ConnectionPool = field(factory=ConnectionPool)
    addresses: list[str] = field(factory=list)
    valid_until_s: float = 0.0

    async def call(self, request: Request, timeout_ms: int) -> CallResult:
        """Send a request; another VM is tried only where it cannot run twice."""
        retry_safe = request.method == "GET" or request.header("Idempotency-Key") is not None
        deadline_s = self.clock() + timeout_ms / 1000
        last_outcome: Result[Response, TransportError] = Err(
            TransportError(FailureKind.CONNECT, "no entry VM answers", False)
        )
        attempts = 0
        for address in (await self._resolve_vms())[:MAX_ATTEMPTS]:
            remaining_ms = round((deadline_s - self.clock()) * 1000)
            if remaining_ms <= 0:
                break
            attempts += 1
            last_outcome = await self._fetch(address, request, remaining_ms)
            if not _may_retry(last_outcome, retry_safe):
                break
            if isinstance(last_outcome, Err):
                self.valid_until_s = 0.0
        return CallResult(last_outcome, attempts)

    async def _resolve_vms(self) -> list[str]:
        if self.clock() < self.valid_until_s:
            return self.addresses
        requested_s = self.clock()
        for address in [*self.addresses, *self.seeds]:
            path = f"/-/locate?client={self.name}&availability_zone={self.availability_zone}"
            outcome = await self._fetch(address, Request("GET", path), LOCATE_TIMEOUT_MS)
            if isinstance(outcome, Ok) and outcome.ok_value.status == 200:
                data = json.loads(outcome.ok_value.body)
                self.addresses = [vm["address"] for vm in data["vms"]]
                self.valid_until_s = requested_s + data["ttl_ms"] / 1000
                break
        return self.addresses or list(self.seeds)

    async def _fetch(
        self, address: str, request: Request, timeout_ms: int
    ) -> Result[Response, TransportError]:
        return await self.pool.fetch(address, request, timeout_ms)


def _may_retry(outcome: Result[Response, TransportError], retry_safe: bool) -> bool:
    match outcome:
        case Err(error):
            return retry_safe or not error.request_sent
        case Ok(response):
            headers = {name.lower(): value for name, value in response.headers}
            return response.status == 503 and headers.get("wagtailbay-run") == "not-run"
