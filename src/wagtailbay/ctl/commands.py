"""Implement the subcommands."""

import difflib
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

from attrs import asdict
from result import Err, Ok, Result

from wagtailbay.config import check_references, document_name, parse_document, read_document
from wagtailbay.config.const import FLEET_DOCUMENT_NAME
from wagtailbay.config.values import check_values
from wagtailbay.ctl.client import AdminClient, request_entry_vm
from wagtailbay.ctl.const import EXIT_REFUSED, EXIT_SUCCESS, EXIT_USAGE
from wagtailbay.ctl.models import Failure, View
from wagtailbay.ctl.tables import format_cell, format_json, format_objects
from wagtailbay.ctl.views import (
    audit_view,
    documents_view,
    fleet_view,
    granted_view,
    keys_view,
    locate_view,
    moves_view,
    status_view,
    withdrawal_view,
)
from wagtailbay.explain import TimelineBuilder, format_timeline

CommandResult = Result[View, Failure]


def _load_document(path: str) -> Result[tuple[str, Any], Failure]:
    """Read a document file and return the document's name and value."""
    read = read_document(Path(path))
    if isinstance(read, Err):
        return Err(Failure(EXIT_USAGE, f"{path}: {read.err_value}"))
    # TOML has values without a JSON form, such as dates, which the client could not encode.
    errors = check_values(read.ok_value)
    name = document_name(read.ok_value)
    if errors or isinstance(name, Err):
        text = "; ".join(map(str, errors)) or str(name.err_value)
        return Err(Failure(EXIT_REFUSED, f"{path}: {text}"))
    return Ok((name.ok_value, read.ok_value))


def _load_documents(paths: list[str]) -> Result[list[tuple[str, str, Any]], Failure]:
    """Read document files and return the fleet document first, since services refer to it."""
    loaded = []
    for path in paths:
        found = _load_document(path)
        if isinstance(found, Err):
            return found
        loaded.append((path, *found.ok_value))
    return Ok(sorted(loaded, key=lambda item: item[1] != FLEET_DOCUMENT_NAME))


async def validate(client: AdminClient, arguments: Any) -> CommandResult:
    """Validate documents through the administration API, or locally with ``--offline``."""
    loaded = _load_documents(arguments.files)
    if isinstance(loaded, Err):
        return loaded
    rows = []
    for path, name, document in loaded.ok_value:
        if arguments.offline:
            checked = _check_offline(name, document, loaded.ok_value)
        else:
            checked = await client.call("POST", "/v1/validate", {"document": document})
        if isinstance(checked, Err):
            failure = checked.err_value
            return Err(Failure(failure.exit_status, f"{path}: {failure.message}"))
        rows.append({"file": path, "name": name, "valid": True})
    return Ok(View({"documents": rows}, format_objects(rows, ("file", "name", "valid"))))


def _check_offline(
    name: str, document: Any, loaded: list[tuple[str, str, Any]]
) -> Result[None, Failure]:
    """Check a document, and also its references if exactly one file is a fleet document."""
    parsed = parse_document(name, document)
    if isinstance(parsed, Err):
        return Err(Failure(EXIT_REFUSED, "; ".join(map(str, parsed.err_value))))
    fleet_documents = [
        parse_document(FLEET_DOCUMENT_NAME, value)
        for _, other, value in loaded
        if other == FLEET_DOCUMENT_NAME
    ]
    if (
        name == FLEET_DOCUMENT_NAME
        or len(fleet_documents) != 1
        or isinstance(fleet_documents[0], Err)
    ):
        return Ok(None)
    errors = check_references(parsed.ok_value, fleet_documents[0].ok_value)
    return Err(Failure(EXIT_REFUSED, "; ".join(map(str, errors)))) if errors else Ok(None)


async def apply(client: AdminClient, arguments: Any) -> CommandResult:
    """Submit documents; ``--expected-version`` defaults to the version read just before."""
    if arguments.expected_version is not None and len(arguments.files) > 1:
        return Err(Failure(EXIT_USAGE, "--expected-version can only be used with a single file"))
    loaded = _load_documents(arguments.files)
    if isinstance(loaded, Err):
        return loaded
    rows = []
    for path, name, document in loaded.ok_value:
        applied = await _submit_document(client, arguments, name, document)
        if isinstance(applied, Err):
            applied_note = (
                f" (already applied: {', '.join(r['name'] for r in rows)})" if rows else ""
            )
            failure = applied.err_value
            return Err(Failure(failure.exit_status, f"{path}: {failure.message}{applied_note}"))
        rows.append(applied.ok_value)
    return Ok(View({"documents": rows}, format_objects(rows, ("name", "version"))))


async def _submit_document(
    client: AdminClient, arguments: Any, name: str, document: Any
) -> Result[Any, Failure]:
    expected = arguments.expected_version
    if expected is None:
        current = await _fetch_current(client, name)
        if isinstance(current, Err):
            return current
        expected = current.ok_value[0]
    body = {"document": document, "expected_version": expected, "reason": arguments.reason}
    return await client.call("PUT", f"/v1/documents/{quote(name, safe='')}", body)


async def _fetch_current(client: AdminClient, name: str) -> Result[tuple[int, Any], Failure]:
    """Return the version and value of a document, or 0 and None if it does not exist."""
    listing = await client.call("GET", "/v1/documents")
    if isinstance(listing, Err):
        return listing
    if all(item["name"] != name for item in listing.ok_value["documents"]):
        return Ok((0, None))
    found = await client.call("GET", f"/v1/documents/{quote(name, safe='')}")
    return found.map(lambda value: (value["version"], value["document"]))


async def diff(client: AdminClient, arguments: Any) -> CommandResult:
    """Compare a file with the document in force."""
    loaded = _load_document(arguments.file)
    if isinstance(loaded, Err):
        return loaded
    name, document = loaded.ok_value
    current = await _fetch_current(client, name)
    if isinstance(current, Err):
        return current
    version, stored = current.ok_value
    before = format_json(stored).splitlines() if stored is not None else []
    after = format_json(document).splitlines()
    label = f"{name} version {version}"
    lines = list(difflib.unified_diff(before, after, label, arguments.file, lineterm=""))
    status = EXIT_REFUSED if lines else EXIT_SUCCESS
    value = {"name": name, "version": version, "different": bool(lines), "diff": lines}
    return Ok(View(value, "\n".join(lines) or f"{label}: no difference", status))


async def get(client: AdminClient, arguments: Any) -> CommandResult:
    """Show one document, or the names and versions of all documents."""
    if arguments.name is None:
        return (await client.call("GET", "/v1/documents")).map(documents_view)
    found = await client.call("GET", f"/v1/documents/{quote(arguments.name, safe='')}")
    return found.map(lambda value: View(value, format_json(value["document"])))


async def delete(client: AdminClient, arguments: Any) -> CommandResult:
    """Delete the document of a service."""
    query = {"expected_version": arguments.expected_version, "reason": arguments.reason}
    path = f"/v1/documents/{quote(arguments.name, safe='')}?{urlencode(query)}"
    deleted = await client.call("DELETE", path)
    return deleted.map(lambda value: View(value, f"{format_cell(value['name'])} is deleted"))


def _make_show_command(path: str, view: Callable[[Any], View]) -> Callable[[AdminClient, Any], Any]:
    """Return a command that requests a path and shows the response."""

    async def command(client: AdminClient, arguments: Any) -> CommandResult:
        return (await client.call("GET", path)).map(view)

    return command


status = _make_show_command("/v1/status", status_view)
moves = _make_show_command("/v1/moves", moves_view)
fleet = _make_show_command("/v1/fleet", fleet_view)
list_keys = _make_show_command("/v1/keys", keys_view)


async def audit(client: AdminClient, arguments: Any) -> CommandResult:
    """Show a page of the audit trail."""
    query = {"limit": arguments.limit}
    if arguments.before:
        query["before"] = arguments.before
    return (await client.call("GET", f"/v1/audit?{urlencode(query)}")).map(audit_view)


async def grant_key(client: AdminClient, arguments: Any) -> CommandResult:
    """Grant a new key to a workspace."""
    body = {"workspace": arguments.workspace, "reason": arguments.reason}
    return (await client.call("POST", "/v1/keys", body)).map(granted_view)


async def withdraw_key(client: AdminClient, arguments: Any) -> CommandResult:
    """Withdraw a key; with ``--show``, only report whether its withdrawal is in force."""
    path = f"/v1/keys/{quote(arguments.key_id, safe='')}/withdrawal"
    if arguments.show:
        return (await client.call("GET", path)).map(withdrawal_view)
    if not arguments.reason:
        return Err(Failure(EXIT_USAGE, "--reason is required"))
    return (await client.call("POST", path, {"reason": arguments.reason})).map(withdrawal_view)


async def locate(client: AdminClient, arguments: Any) -> CommandResult:
    """Ask an entry VM which entry VMs a client should use."""
    query = {"client": arguments.client}
    if arguments.availability_zone:
        query["availability_zone"] = arguments.availability_zone
    path = f"/-/locate?{urlencode(query)}"
    answer = await request_entry_vm(arguments.entry_address, path, arguments.timeout_ms)
    return answer.map(locate_view)


async def explain(client: AdminClient, arguments: Any) -> CommandResult:
    """Show the timeline of a request, built from the log lines of one or more VMs."""
    builder = TimelineBuilder(arguments.request_id)
    for path in arguments.files or ["-"]:
        try:
            if path == "-":
                _feed_lines(builder, sys.stdin)
            else:
                with Path(path).open(errors="replace") as lines:
                    _feed_lines(builder, lines)
        except OSError as error:
            return Err(Failure(EXIT_USAGE, f"{path}: {error.strerror or error}"))
    timeline = builder.build()
    status = EXIT_SUCCESS if timeline.steps else EXIT_REFUSED
    text = (
        format_timeline(timeline)
        if timeline.steps
        else f"no log line about request {timeline.request_id}"
    )
    return Ok(View(asdict(timeline), text, status))


def _feed_lines(builder: TimelineBuilder, lines: Iterable[str]) -> None:
    for line in lines:
        builder.feed(line)
