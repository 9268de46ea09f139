"""Stand-in for the platform's object API and its VM list.

``PUT /standin/faults`` sets any of these faults: ``outage`` (close each connection without a
response), ``delay_ms``, ``lose_answers`` (that many writes take effect but get no response) and
``vm_list_lag_ms``. ``GET /standin/calls`` returns the number of calls by kind and the number of
pending watches; a pending watch counts as one call.
"""

import json
import os
import sys
from collections import Counter
from functools import partial
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import trio
from attrs import define, field, frozen

from wagtailbay.logs import log_event, start_logging
from wagtailbay.replica import ChangeSignal
from wagtailbay.settings import load_settings_or_exit, setting
from wagtailbay.settings.checks import parse_address, split_address
from wagtailbay.transport import HttpServer, Reply, Request
from wagtailbay.transport.server import CallerDisconnectedError

PROGRAM = "wagtailbay-standin-platform"


@define
class ObjectTable:
    """Versioned objects; a deleted object is kept with the value None."""

    revision: int = 0
    objects: dict[str, tuple[int, Any]] = field(factory=dict)
    changed: ChangeSignal = field(factory=ChangeSignal)

    def version(self, key: str) -> int:
        """Return the version of an object, 0 if it does not exist."""
        version, value = self.objects.get(key, (0, None))
        return version if value is not None else 0

    def write(self, key: str, value: Any, expected_version: int | None) -> int | None:
        """Write an object and return its new version, None if the expected version differs."""
        if expected_version is not None and self.version(key) != expected_version:
            return None
        self.revision += 1
        self.objects[key] = (self.revision, value)
        self.changed.notify()
        return self.revision

    def select(
        self, prefixes: tuple[str, ...], since_revision: int = 0, deleted: bool = False
    ) -> list:
        """Return the objects under the prefixes that changed after the given revision."""
        return [
            {"key": key, "version": version, "value": value}
            for key, (version, value) in sorted(self.objects.items())
            if key.startswith(prefixes)
            and version > since_revision
            and (deleted or value is not None)
        ]


@define
class PlatformStandin:
    """Serves the object API, the VM list and the fault control endpoints."""

    table: ObjectTable = field(factory=ObjectTable)
    faults: dict[str, Any] = field(factory=dict)
    calls: Counter = field(factory=Counter)
    waiting_watches: int = 0
    vm_listings: list[tuple[float, dict[str, Any]]] = field(factory=list)

    async def handle(self, request: Request, reply: Reply) -> None:
        """Dispatch a request by its path, subject to the configured faults."""
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.startswith("/standin/"):
            await self._handle_control(request, url.path, reply)
            return
        if self.faults.get("outage"):
            raise CallerDisconnectedError
        if self.faults.get("delay_ms"):
            await trio.sleep(self.faults["delay_ms"] / 1000)
        if url.path == "/v1/vms":
            self.calls["vms"] += 1
            await reply.send_json(200, self._visible_vm_listing())
        elif url.path == "/v1/watch":
            await self._watch(query, reply)
        elif url.path == "/v1/objects":
            self.calls["list"] += 1
            objects = self.table.select(tuple(query["prefix"].split(",")))
            await reply.send_json(200, {"revision": self.table.revision, "objects": objects})
        else:
            await self._handle_object(request, url.path, query, reply)

    async def _handle_object(
        self, request: Request, path: str, query: dict[str, str], reply: Reply
    ) -> None:
        key = unquote(path.removeprefix("/v1/objects/"))
        self.calls[request.method.lower()] += 1
        if request.method == "GET":
            version, value = self.table.objects.get(key, (0, None))
            status = 404 if value is None else 200
            await reply.send_json(status, {"key": key, "version": version, "value": value})
            return
        value = json.loads(request.body)["value"] if request.method == "PUT" else None
        expected_version = query.get("expected_version")
        version = self.table.write(
            key, value, None if expected_version is None else int(expected_version)
        )
        if version is not None and self.faults.get("lose_answers", 0) > 0:
            self.faults["lose_answers"] -= 1
            raise CallerDisconnectedError
        status = 409 if version is None else 200
        await reply.send_json(status, {"version": version or self.table.version(key)})

    async def _watch(self, query: dict[str, str], reply: Reply) -> None:
        self.calls["watch"] += 1
        self.waiting_watches += 1
        prefixes, since_revision = tuple(query["prefix"].split(",")), int(query["since"])
        try:
            with trio.move_on_after(int(query["timeout_ms"]) / 1000):
                while not (changes := self.table.select(prefixes, since_revision, deleted=True)):
                    await self.table.changed.wait()
        finally:
            self.waiting_watches -= 1
        if self.faults.get("outage"):
            raise CallerDisconnectedError
        changes = self.table.select(prefixes, since_revision, deleted=True)
        await reply.send_json(200, {"revision": self.table.revision, "objects": changes})

    def _visible_vm_listing(self) -> dict[str, Any]:
        cutoff_s = trio.current_time() - self.faults.get("vm_list_lag_ms", 0) / 1000
        visible = [listing for listed_s, listing in self.vm_listings if listed_s <= cutoff_s]
        return visible[-1] if visible else {"revision": 0, "vms": []}

    async def _handle_control(self, request: Request, path: str, reply: Reply) -> None:
        if path == "/standin/faults":
            self.faults = json.loads(request.body)
            log_event("faults_set", **self.faults)
        elif path == "/standin/vms":
            listing = {"revision": len(self.vm_listings) + 1, "vms": json.loads(request.body)}
            self.vm_listings.append((trio.current_time(), listing))
        calls = {"calls": dict(self.calls), "waiting_watches": self.waiting_watches}
        await reply.send_json(200, calls)


@frozen
class PlatformSettings:
    """Run an in-memory stand-in for the platform's object API."""

    listen_address: str = setting(help_text="address to listen on", parse=parse_address)


async def run(settings: PlatformSettings) -> None:
    """Serve until the process is terminated."""
    server = HttpServer(PlatformStandin().handle)
    async with trio.open_nursery() as nursery:
        bound_address = await nursery.start(server.serve, split_address(settings.listen_address))
        log_event("listening", address=f"{bound_address[0]}:{bound_address[1]}")


def main() -> None:
    """Load the settings and run the platform stand-in."""
    settings = load_settings_or_exit(PROGRAM, PlatformSettings, os.environ)
    start_logging(sys.stderr, PROGRAM)
    trio.run(partial(run, settings))


if __name__ == "__main__":
    main()
