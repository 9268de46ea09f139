"""Change a running deployment and read what its targets did."""

import json
from collections import Counter
from typing import Any

import trio
from attrs import define
from result import Err, Ok, Result

from wagtailbay.store import HttpObjectStore, StoreError
from wagtailbay.transport import FailureKind, Request, Response, TransportError, fetch
from wagtailbay_bench.deployment import Deployment

CONTROL_TIMEOUT_MS = 5_000
CRASHED_TRIES = 10
CRASHED_WAIT_S = 0.2


@define
class Controls:
    """Reach the stand-ins of a deployment."""

    deployment: Deployment

    @property
    def store(self) -> HttpObjectStore:
        """Return a client of the platform stand-in."""
        return HttpObjectStore(self.deployment.platform_address)

    async def _call(self, address: str, request: Request) -> Result[Response, TransportError]:
        """Call a stand-in; a crashed target listens again after a second."""
        answer = await fetch(address, request, CONTROL_TIMEOUT_MS)
        for _ in range(CRASHED_TRIES):
            if not isinstance(answer, Err) or answer.err_value.kind is not FailureKind.CONNECT:
                break
            await trio.sleep(CRASHED_WAIT_S)
            answer = await fetch(address, request, CONTROL_TIMEOUT_MS)
        return answer

    async def _put(self, address: str, path: str, value: Any) -> Any:
        request = Request("PUT", path, (), json.dumps(value).encode())
        answer = await self._call(address, request)
        if not isinstance(answer, Ok):
            raise RuntimeError(f"{address}{path}: {answer.err_value}")
        return json.loads(answer.ok_value.body)

    async def set_store_faults(self, **faults: Any) -> None:
        """Replace the faults of the platform stand-in."""
        await self._put(self.deployment.platform_address, "/standin/faults", faults)

    async def set_behaviour(self, target: str, **changes: Any) -> None:
        """Change how a target behaves."""
        address = self.deployment.target_addresses[target]
        await self._put(address, "/standin/behaviour", changes)

    async def change_document(self, service: str, **changes: Any) -> Result[int, StoreError]:
        """Write a service document with some fields replaced, on the newest version."""
        key = f"documents/{service}"
        read = await self.store.get(key)
        if isinstance(read, Err):
            return read
        stored = read.ok_value
        return await self.store.put(key, stored.value | changes, stored.version)

    async def replace_document(self, service: str, document: Any) -> Result[int, StoreError]:
        """Write a whole service document, whatever its version."""
        return await self.store.put(f"documents/{service}", document, None)

    async def history(self) -> list[dict[str, Any]]:
        """Return all recorded runs of all targets, oldest first."""
        runs = []
        for address in self.deployment.target_addresses.values():
            request = Request("GET", "/standin/runs")
            answer = await self._call(address, request)
            if isinstance(answer, Ok):
                runs.extend(json.loads(answer.ok_value.body)["history"])
        return sorted(runs, key=lambda run: run["unix_s"])

    async def cut_traces(self) -> set[str]:
        """Return the traces of requests whose answers a target itself broke off."""
        traces: set[str] = set()
        for address in self.deployment.target_addresses.values():
            answer = await self._call(address, Request("GET", "/standin/runs"))
            if isinstance(answer, Ok):
                traces.update(json.loads(answer.ok_value.body)["cut_traces"])
        return traces

    async def idempotency_runs(self) -> Counter:
        """Return how often each idempotency key ran on all targets together."""
        total: Counter = Counter()
        for address in self.deployment.target_addresses.values():
            request = Request("GET", "/standin/runs")
            answer = await self._call(address, request)
            if isinstance(answer, Ok):
                total.update(json.loads(answer.ok_value.body)["runs"])
        return total

    async def seen_headers(self) -> set[str]:
        """Return the names of all header fields that any target received."""
        names: set[str] = set()
        for address in self.deployment.target_addresses.values():
            answer = await self._call(address, Request("GET", "/standin/counts"))
            if isinstance(answer, Ok):
                names.update(json.loads(answer.ok_value.body)["seen_headers"])
        return names
