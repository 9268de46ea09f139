"""Convert responses of the administration API and of entry VMs to views."""

from typing import Any

from wagtailbay.ctl.const import EXIT_PENDING, EXIT_SUCCESS
from wagtailbay.ctl.models import View
from wagtailbay.ctl.tables import format_cell, format_objects, format_table, format_time

FLEET_COLUMNS = ("vm", "availability_zone", "address", "listed_state", "state", "revision")
AUDIT_COLUMNS = ("time", "who", "outcome", "action", "subject", "versions", "why", "detail")
REGION_COLUMNS = ("service", "region", "used_per_s", "usable_per_s", "headroom_percent", "vms")
MOVE_COLUMNS = ("service", "phase", "versions", "step", "reason")


def documents_view(value: dict[str, Any]) -> View:
    """Show the names and versions of all documents."""
    return View(value, format_objects(value["documents"], ("name", "version")))


def keys_view(value: dict[str, Any]) -> View:
    """Show the ids and workspaces of all keys."""
    return View(
        value, format_objects(value["keys"], ("key_id", "workspace", "withdrawn", "version"))
    )


def granted_view(value: dict[str, Any]) -> View:
    """Show a new key; it cannot be shown again, since the store holds only its digest."""
    text = f"key        {value['key']}\nkey id     {value['key_id']}"
    text += f"\nworkspace  {value['workspace']}"
    text += "\nThe key is shown only once; the store holds its SHA-256."
    return View(value, text)


def withdrawal_view(value: dict[str, Any]) -> View:
    """Show whether a withdrawal is in force and which VMs have not applied it."""
    quorum = format_cell(value["quorum"])
    text = f"{value['state']}: {value['confirmed']} VMs have applied it, a quorum is {quorum}"
    if value["lacking"]:
        text += "\n" + format_objects(value["lacking"], ("vm", "reason"))
    pending = value["state"] != "in_force"
    return View(value, text, EXIT_PENDING if pending else EXIT_SUCCESS)


def moves_view(value: dict[str, Any]) -> View:
    """Show the progress of each move."""
    return View(value, _format_moves(value["moves"]))


def _format_moves(moves: list[dict[str, Any]]) -> str:
    return format_table(MOVE_COLUMNS, [_move_row(item["service"], item["move"]) for item in moves])


def _move_row(service: str, move: Any) -> list[str]:
    """Return the table row of one move; a malformed object is shown unchanged."""
    plan = move.get("plan") if isinstance(move, dict) else None
    if not isinstance(plan, dict):
        return [service, "unreadable", "", "", format_cell(move)]
    steps = plan.get("steps") or ()
    versions = f"{format_cell(plan.get('old_version'))} to {format_cell(plan.get('new_version'))}"
    step = f"{format_cell(move.get('step', -1) + 1)} of {len(steps)}"
    return [
        service,
        format_cell(move.get("phase")),
        versions,
        step,
        format_cell(move.get("reason")),
    ]


def fleet_view(value: dict[str, Any]) -> View:
    """Show each entry VM with the revision that it has applied."""
    return View(value, _format_fleet(value))


def _format_fleet(fleet: dict[str, Any]) -> str:
    header = f"max_vms {format_cell(fleet['max_vms'])}, quorum {format_cell(fleet['quorum'])}"
    return (
        f"{header}\n{format_objects(fleet['vms'], (*FLEET_COLUMNS, 'confirmed_age_ms', 'fault'))}"
    )


def audit_view(value: dict[str, Any]) -> View:
    """Show a page of audit records, newest first."""
    rows = [
        [
            format_time(r["when_unix_s"]),
            r["who"],
            r["outcome"],
            r["action"],
            _truncate_subject(r["subject"]),
            f"{format_cell(r['from_version'])} -> {format_cell(r['to_version'])}",
            r["why"],
            r["detail"],
        ]
        for r in value["records"]
    ]
    text = format_table(AUDIT_COLUMNS, rows)
    if value["before"]:
        text += f"\nmore: --before {format_cell(value['before'])}"
    return View(value, text)


def _truncate_subject(subject: str) -> str:
    return subject if len(subject) <= 32 else subject[:29] + "..."


def status_view(value: dict[str, Any]) -> View:
    """Show the state of the deployment, starting with the problems."""
    keys, audit = value["keys"], value["audit"]
    parts = [
        f"at {format_time(value['time_unix_s'])}",
        "problems",
        format_objects(value["problems"], ("subject", "message")),
        "",
        "documents",
        format_objects(value["documents"], ("name", "version")),
        "",
        "moves",
        _format_moves(value["moves"]),
        "",
        "regions",
        format_objects(value["regions"], REGION_COLUMNS),
        "",
        f"keys: {keys['granted']} granted, {keys['withdrawn']} withdrawn",
        f"audit: {audit['queued']} queued, {audit['lost']} lost",
        "",
        "fleet",
        _format_fleet(value["fleet"]),
    ]
    return View(value, "\n".join(parts))


def locate_view(value: dict[str, Any]) -> View:
    """Show the recommended entry VMs, best first."""
    table = format_objects(value["vms"], ("vm", "address", "availability_zone"))
    return View(value, f"{table}\nvalid for {format_cell(value['ttl_ms'])} ms")
