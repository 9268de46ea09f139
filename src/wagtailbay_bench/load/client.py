"""HTTP client that finds entry VMs through the locate endpoint and retries on other VMs."""

import json
from collections.abc import Callable, Sequence

from attrs import define, field, frozen
from result import Err, Ok, Result

from wagtailbay.transport import FailureKind, Request, Response, TransportError
from wagtailbay_bench.caller_pool import CallerPool

LOCATE_TIMEOUT_MS = 1_000
MAX_ATTEMPTS = 3


@frozen
class CallResult:
    """Result of one call.

    Attributes:
        outcome: The last response or transport error.
        attempts: Number of VMs that the request was sent to.
    """

    outcome: Result[Response, TransportError]
    attempts: int


@define
class LocatingClient:
    """Client that sends requests to the entry VMs listed in the latest locate response.

    Attributes:
        seeds: Addresses of entry VMs to contact when no VM in ``addresses`` responds.
        addresses: Addresses of entry VMs from the latest locate response.
        valid_until_s: Time on ``clock`` after which ``addresses`` are refreshed.
    """

    name: str
    availability_zone: str
    seeds: Sequence[str]
    clock: Callable[[], float]
    pool: CallerPool = field(factory=CallerPool)
    addresses: list[str] = field(factory=list)
    valid_until_s: float = 0.0

    async def call(self, request: Request, timeout_ms: int) -> CallResult:
        """Send a request, and retry on another VM if the request cannot be executed twice.

        After a transport error, GET requests and requests with an idempotency key are retried,
        and any other request only if it was not sent. After a 503 response, a request is retried
        if the VM reports that it was not run.
        """
        retry_safe = request.method == "GET" or request.header("Idempotency-Key") is not None
        deadline_s = self.clock() + timeout_ms / 1000
        last_outcome: Result[Response, TransportError] = Err(
            TransportError(FailureKind.CONNECT, "no entry VM could be reached", False)
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
