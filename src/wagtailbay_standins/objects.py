"""Stand-in for the store of the users' platform: objects by kind and name, over HTTP.

Tests inject faults through attributes: with ``error_status``, every call is answered with that
status; a watch that starts before ``oldest_revision`` gets status 410, as if the history before
that revision had been dropped. While ``is_away``, connections end without an answer. ``restore``
brings back an older copy and raises the era. ``on_call`` is told of each call.
"""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import trio
from attrs import define, field

from wagtailbay.transport import CallerDisconnectedError, HttpServer, Reply, Request
from wagtailbay_standins.platform import ObjectTable

PAGE_ITEMS = 50
ObjectCopy = tuple[int, dict[str, tuple[int, Any]]]
"""Revision of a copy, and the revision and value of each object, by key."""


@define
class ObjectApiStandin:
    """Serves the object API; each object has a spec, a status and its creation revision."""

    table: ObjectTable = field(factory=ObjectTable)
    error_status: int | None = None
    oldest_revision: int = 0
    is_away: bool = False
    era: int | None = None
    watch_cuts: int = 0
    calls: list[str] = field(factory=list)
    on_call: Callable[[str, str], None] = lambda method, path: None

    def copy(self) -> ObjectCopy:
        """Return a copy of all objects with the current revision."""
        return self.table.revision, dict(self.table.objects)

    def restore(self, copy: ObjectCopy) -> set[str]:
        """Replace all objects by those of a copy; return the keys that changed or got lost."""
        revision, objects = copy
        known = self.table.objects
        keys = known.keys() | objects.keys()
        lost = {key for key in keys if known.get(key) != objects.get(key)}
        self.table.revision, self.table.objects = revision, dict(objects)
        self.era = (self.era or 0) + 1
        self.table.changed.notify()
        return lost

    async def _send(self, reply: Reply, status: int, value: Any) -> None:
        headers = () if self.era is None else (("Store-Era", str(self.era)),)
        await reply.send_json(status, value, headers)

    def cut_watches(self) -> None:
        """End the connections of all waiting watches without an answer."""
        self.watch_cuts += 1
        self.table.changed.notify()

    def put_spec(self, kind: str, name: str, spec: Any) -> int:
        """Write the spec of an object as an operator would, and return the new revision."""
        return self._write(f"{kind}/{name}", {"spec": spec})

    def put_fields(self, kind: str, name: str, fields: dict[str, Any]) -> int:
        """Write top-level fields of an object as a target would, and return the new revision."""
        return self._write(f"{kind}/{name}", fields)

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.table.write(f"{kind}/{name}", None, None)

    def status(self, kind: str, name: str) -> Any:
        """Return the status of an object, None if none was written."""
        return self.table.objects[f"{kind}/{name}"][1].get("status")

    def _write(self, key: str, fields: dict[str, Any]) -> int:
        current = self.table.objects.get(key, (0, None))[1] or {}
        created = current.get("created") or self.table.revision + 1
        return self.table.write(key, current | fields | {"created": created}, None)

    def _object_json(self, key: str) -> dict[str, Any]:
        version, value = self.table.objects[key]
        meta = {
            "name": key.partition("/")[2],
            "revision": version,
            "created": (value or {}).get("created", 0),
            "finalizers": [],
            "deleting": False,
        }
        extra_fields = {name: part for name, part in (value or {}).items() if name != "created"}
        return {"meta": meta, "spec": None, "status": None, **extra_fields}

    async def handle(self, request: Request, reply: Reply) -> None:
        """Record a call and dispatch it by method and path."""
        self.calls.append(f"{request.method} {request.path}")
        self.on_call(request.method, request.path)
        if self.is_away:
            raise CallerDisconnectedError
        if self.error_status is not None:
            await self._send(reply, self.error_status, {"error": "refused"})
            return
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        _, _, kind, *names = unquote(url.path).split("/")
        if request.method == "GET" and not names:
            await self._list(reply, kind, query)
        elif request.method == "GET":
            await self._get(reply, f"{kind}/{names[0]}")
        else:
            await self._handle_write(request, reply, kind, names, query)

    async def _get(self, reply: Reply, key: str) -> None:
        if not self.table.version(key):
            await self._send(reply, 404, {"error": "not found"})
            return
        await self._send(reply, 200, self._object_json(key))

    async def _list(self, reply: Reply, kind: str, query: dict[str, str]) -> None:
        if "watch" in query:
            await self._watch(reply, kind, int(query["watch"]), int(query["wait_ms"]))
            return
        after = query.get("after", "")
        keys = [item["key"] for item in self.table.select((f"{kind}/",))]
        keys = [key for key in keys if key.partition("/")[2] > after]
        page = {
            "items": [self._object_json(key) for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "at": self.table.revision,
        }
        await self._send(reply, 200, page)

    async def _watch(self, reply: Reply, kind: str, since_revision: int, wait_ms: int) -> None:
        if since_revision < self.oldest_revision or since_revision > self.table.revision:
            await self._send(reply, 410, {"error": "this history is gone"})
            return
        era, cuts = self.era, self.watch_cuts
        with trio.move_on_after(wait_ms / 1000):
            while (era, cuts) == (self.era, self.watch_cuts) and not self.table.select(
                (f"{kind}/",), since_revision, deleted=True
            ):
                await self.table.changed.wait()
        if self.is_away or (era, cuts) != (self.era, self.watch_cuts):
            raise CallerDisconnectedError
        events = [
            {"object": self._object_json(item["key"]), "deleted": item["value"] is None}
            for item in self.table.select((f"{kind}/",), since_revision, deleted=True)
        ]
        await self._send(reply, 200, {"events": events, "at": self.table.revision})

    async def _handle_write(
        self, request: Request, reply: Reply, kind: str, names: list[str], query: dict[str, str]
    ) -> None:
        body = json.loads(request.body) if request.body else {}
        name = names[0] if names else body["meta"]["name"]
        key = f"{kind}/{name}"
        version = self.table.version(key)
        expected_version = body.get("meta", {}).get("revision", query.get("revision"))
        exists = version > 0
        conflict = expected_version is not None and int(expected_version) != version
        if (request.method == "POST" and exists) or conflict:
            await self._send(reply, 409, self._object_json(key))
        elif request.method in ("PUT", "DELETE") and not exists:
            await self._send(reply, 404, {"error": "not found"})
        else:
            if request.method == "DELETE":
                self.table.write(key, None, None)
            elif names[1:] == ["status"]:
                self._write(key, {"status": body.get("status")})
            else:
                self._write(key, {"spec": body.get("spec")})
            await self._send(reply, 200, self._object_json(key))

    async def serve(self, *, task_status: trio.TaskStatus) -> None:
        """Serve on a free loopback port; report ``ip:port`` once started."""
        async with trio.open_nursery() as nursery:
            host, port = await nursery.start(HttpServer(self.handle).serve, ("127.0.0.1", 0))
            task_status.started(f"{host}:{port}")
