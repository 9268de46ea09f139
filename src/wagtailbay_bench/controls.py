"""Control the stand-ins of a running deployment and read the records of its targets."""

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
CONNECT_RETRIES = 10
CONNECT_RETRY_DELAY_S = 0.2


@define
class Controls:
    """Client of the control endpoints of a deployment's platform and targets."""

    deployment: Deployment

    @property
    def store(self) -> HttpObjectStore:
        """Client of the object store in the platform stand-in."""
        return HttpObjectStore(self.deployment.platform_address)

    async def _call(self, address: str, request: Request) -> Result[Response, TransportError]:
        """Send a request to a stand-in and retry refused connections.

        A crashed target listens again after one second.
        """
        result = await fetch(address, request, CONTROL_TIMEOUT_MS)
        for _ in range(CONNECT_RETRIES):
            if not isinstance(result, Err) or result.err_value.kind is not FailureKind.CONNECT:
                break
            await trio.sleep(CONNECT_RETRY_DELAY_S)
            result = await fetch(address, request, CONTROL_TIMEOUT_MS)
        return result

    async def _put_json(self, address: str, path: str, value: Any) -> Any:
        request = Request("PUT", path, (), json.dumps(value).encode())
        result = await self._call(address, request)
        if not isinstance(result, Ok):
            raise RuntimeError(f"{address}{path}: {result.err_value}")
        return json.loads(result.ok_value.body)

    async def set_store_faults(self, **faults: Any) -> None:
        """Replace the injected faults of the platform stand-in; no arguments remove them."""
        await self._put_json(self.deployment.platform_address, "/standin/faults", faults)

    async def set_behaviour(self, target: str, **changes: Any) -> None:
        """Change some behaviour settings of a target."""
        address = self.deployment.target_addresses[target]
        await self._put_json(address, "/standin/behaviour", changes)

    async def change_document(self, service: str, **changes: Any) -> Result[int, StoreError]:
        """Replace some fields of the latest version of a service document."""
        key = f"documents/{service}"
        stored_result = await self.store.get(key)
        if isinstance(stored_result, Err):
            return stored_result
        stored = stored_result.ok_value
        return await self.store.put(key, stored.value | changes, stored.version)

    async def replace_document(self, service: str, document: Any) -> Result[int, StoreError]:
        """Overwrite a service document regardless of its version."""
        return await self.store.put(f"documents/{service}", document, None)

    async def run_history(self) -> list[dict[str, Any]]:
        """Return the recorded runs of all targets, oldest first."""
        runs = []
        for address in self.deployment.target_addresses.values():
            request = Request("GET", "/standin/runs")
            result = await self._call(address, request)
            if isinstance(result, Ok):
                runs.extend(json.loads(result.ok_value.body)["history"])
        return sorted(runs, key=lambda run: run["unix_s"])

    async def aborted_response_traces(self) -> set[str]:
        """Return the trace IDs of requests whose response a target itself cut off."""
        traces: set[str] = set()
        for address in self.deployment.target_addresses.values():
            result = await self._call(address, Request("GET", "/standin/runs"))
            if isinstance(result, Ok):
                traces.update(json.loads(result.ok_value.body)["cut_traces"])
        return traces

    async def count_idempotency_runs(self) -> Counter:
        """Return how often all targets together ran each idempotency key."""
        total: Counter = Counter()
        for address in self.deployment.target_addresses.values():
            request = Request("GET", "/standin/runs")
            result = await self._call(address, request)
            if isinstance(result, Ok):
                total.update(json.loads(result.ok_value.body)["runs"])
        return total

    async def received_header_names(self) -> set[str]:
        """Return the names of all header fields received by any target."""
        names: set[str] = set()
        for address in self.deployment.target_addresses.values():
            result = await self._call(address, Request("GET", "/standin/counts"))
            if isinstance(result, Ok):
                names.update(json.loads(result.ok_value.body)["seen_headers"])
        return names
