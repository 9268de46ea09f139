"""Scenario of recorded histories: a small deployment with three services.

Target faults affect ``records`` only, ``catalog`` moves to a new version, and callers of
``exports`` request more than its regions and links can carry.
"""

from collections.abc import Mapping, Sequence
from typing import Any

from wagtailbay_bench.controls import Controls
from wagtailbay_bench.prove.models import History, PlannedMove

ZONES = {"n1": "north", "n2": "north", "s1": "south", "s2": "south"}
# Three VMs share a region: they form a quorum of five, and only two of them read the store.
VM_ZONES = {"vm-1": "n1", "vm-2": "n2", "vm-3": "s1", "vm-4": "s2", "vm-5": "n1"}
QUORUM_VMS = 3
# One operator in each region, with an administration API in the same region.
ADMIN_ZONES = {"ana": "n1", "luis": "s1"}
ADMIN_TOKENS = {"ana": "token-ana", "luis": "token-luis"}
MAX_VMS = 5
RECORDS_WORKSPACES = {"large": (60.0, 60.0), "small": (10.0, 20.0), "flood": (5.0, 10.0)}
CATALOG_WORKSPACES, EXPORTS_WORKSPACES = {"mover": (1_000.0, 1_000.0)}, {"bulk": (1_000.0, 1_000.0)}
WORKSPACES = RECORDS_WORKSPACES | CATALOG_WORKSPACES | EXPORTS_WORKSPACES
KEYS = {name: f"key-{name}" for name in WORKSPACES}
SECONDARY_KEYS = {name: f"key-{name}-2" for name in RECORDS_WORKSPACES}
DEFAULT_BEHAVIOUR = {"slots": 4, "queue": 8, "service_time_ms": 4}

# Target faults are limited to this service: on others they could make a good version look bad.
RECORDS_TARGETS = tuple(f"t-{zone}-{number}" for zone in ZONES for number in (1, 2))
OLD_VERSION_TARGETS = {f"c-old-{zone}": zone for zone in ZONES}
NEW_VERSION_TARGETS = {f"c-new-{zone}": zone for zone in ZONES}
EXPORTS_TARGETS = {f"x-{zone}": zone for zone in ZONES}
EXPORTS_CAPACITIES_PER_S = {"north": 10.0, "south": 40.0}
EXPORTS_BODY_BYTES = 8_000
# Responses to requests spilled from north exceed the budget of the link from south to north.
LINK_MBIT_PER_S = {("south", "north"): 0.2, ("north", "south"): 8.0}
CATALOG_SERVICE_TIME_MS = 30
MAX_STEP_PPM = 250_000
NEW_VERSION_CAP_PER_S = 8.0
# All steps take 20 s and the observation period after them 60 s, which is past the end of a
# default history; a history of 100 s shows that a good version finishes.
MIN_MOVE_DURATION_S = 40.0
MOVE_DEADLINE_MARGIN_S = 10.0
MOVE_START_DELAY_S = 1.0

# The seed selects one entry: (kind, behaviour of the new targets, whether the plan has a cap).
MOVE_VARIANTS: Sequence[tuple[str, Mapping[str, Any], bool]] = (
    ("good", {}, False),
    ("fails-at-once", {"error_ppm": 700_000}, False),
    ("good", {}, True),
    ("fails-later", {"error_ppm": 700_000, "bad_after_requests": 8}, False),
    ("fails-under-load", {"error_ppm": 700_000, "bad_above_in_flight": 1}, False),
    ("fails-on-one-route", {"error_ppm": 700_000, "bad_path_prefix": "/search"}, False),
    ("slow", {"slow_factor": 15.0}, False),
)


def build_fleet_document() -> dict[str, Any]:
    """Return the fleet document with the zones and the links between regions."""
    zones = [{"availability_zone": z, "region": r} for z, r in ZONES.items()]
    links = [
        {"from_region": a, "to_region": b, "capacity_mbit_per_s": mbit_per_s}
        for (a, b), mbit_per_s in LINK_MBIT_PER_S.items()
    ]
    return {
        "schema_version": 1,
        "max_vms": MAX_VMS,
        "availability_zones": zones,
        "links": links,
    }


def build_service_documents(
    seed: int, now_unix_s: float, duration_s: float
) -> list[dict[str, Any]]:
    """Return the documents of all services; the seed selects the move variant."""
    return [
        _build_records_document(),
        _build_catalog_document(seed, now_unix_s, duration_s),
        _build_exports_document(),
    ]


def _build_records_document() -> dict[str, Any]:
    """Return a service with an idempotent, a non-idempotent and a public route."""
    routes = [
        {"name": "read", "path_prefix": "/", "deadline_ms": 3000, "idle_timeout_ms": 700},
        {
            "name": "deposit",
            "path_prefix": "/deposit",
            "idempotent": False,
            "deadline_ms": 3000,
            "idle_timeout_ms": 1500,
        },
        {"name": "public", "path_prefix": "/public", "open": True, "deadline_ms": 3000},
    ]
    zones = {target: target.split("-")[1] for target in RECORDS_TARGETS}
    return _build_service_document(
        "records", routes, [("v1", zones)], RECORDS_WORKSPACES, (300, 300)
    )


def _build_catalog_document(seed: int, now_unix_s: float, duration_s: float) -> dict[str, Any]:
    """Return a service with a plan to move to a new version."""
    routes = [{"name": "read", "path_prefix": "/"}, {"name": "search", "path_prefix": "/search"}]
    versions = [("v1", OLD_VERSION_TARGETS), ("v2", NEW_VERSION_TARGETS)]
    start_unix_s = now_unix_s + MOVE_START_DELAY_S
    plan = {
        "old_version": "v1",
        "new_version": "v2",
        "start_unix_s": start_unix_s,
        "deadline_unix_s": start_unix_s
        + max(MIN_MOVE_DURATION_S, duration_s - MOVE_DEADLINE_MARGIN_S),
        "max_step_ppm": MAX_STEP_PPM,
    }
    if MOVE_VARIANTS[seed % len(MOVE_VARIANTS)][2]:
        plan["cap_per_s"] = NEW_VERSION_CAP_PER_S
    document = _build_service_document(
        "catalog", routes, versions, CATALOG_WORKSPACES, (1_000, 1_000)
    )
    return document | {"version_plan": plan}


def _build_exports_document() -> dict[str, Any]:
    """Return a service whose callers request more than the capacity of its regions."""
    routes = [{"name": "export", "path_prefix": "/"}]
    capacities_per_s = tuple(EXPORTS_CAPACITIES_PER_S.values())
    return _build_service_document(
        "exports", routes, [("v1", EXPORTS_TARGETS)], EXPORTS_WORKSPACES, capacities_per_s
    )


def _build_service_document(
    name: str,
    routes: list[dict[str, Any]],
    versions: Sequence[tuple[str, Mapping[str, str]]],
    workspaces: Mapping[str, tuple[float, float]],
    capacities_per_s: tuple[float, float],
) -> dict[str, Any]:
    """Return a service document; each version maps its targets to availability zones."""
    targets = [
        {
            "target": target,
            "address": "127.0.0.1:0",
            "availability_zone": zone,
            "version": version,
            "slots": 4,
        }
        for version, zones in versions
        for target, zone in zones.items()
    ]
    return {
        "schema_version": 1,
        "service": name,
        "owner": f"{name}-team",
        "routes": routes,
        "targets": targets,
        "workspaces": [
            {"workspace": workspace, "rate_per_s": rate, "burst": burst}
            for workspace, (rate, burst) in workspaces.items()
        ],
        "regions": [
            {"region": region, "capacity_per_s": capacity_per_s}
            for region, capacity_per_s in zip(("north", "south"), capacities_per_s, strict=True)
        ],
    }


async def configure_targets(controls: Controls, seed: int) -> None:
    """Set the behaviour of the catalog and exports targets; the seed selects the move variant."""
    for target in (*OLD_VERSION_TARGETS, *NEW_VERSION_TARGETS):
        await controls.set_behaviour(target, service_time_ms=CATALOG_SERVICE_TIME_MS)
    for target in NEW_VERSION_TARGETS:
        await controls.set_behaviour(target, **MOVE_VARIANTS[seed % len(MOVE_VARIANTS)][1])
    for target in EXPORTS_TARGETS:
        await controls.set_behaviour(target, body_bytes=EXPORTS_BODY_BYTES)


def record_scenario(history: History, documents: Sequence[Mapping[str, Any]]) -> None:
    """Copy the limits, locations and move plan that the checks need into a history."""
    history.workspace_limits = WORKSPACES
    history.max_vms = MAX_VMS
    history.vm_regions = {vm: ZONES[zone] for vm, zone in VM_ZONES.items()}
    history.link_bytes_per_s = {ends: mbit * 125_000 for ends, mbit in LINK_MBIT_PER_S.items()}
    history.target_locations = {
        target["target"]: (document["service"], ZONES[target["availability_zone"]])
        for document in documents
        for target in document["targets"]
    }
    history.region_capacities_per_s = {
        (document["service"], region["region"]): region["capacity_per_s"]
        for document in documents
        for region in document["regions"]
    }
    catalog = next(document for document in documents if document["service"] == "catalog")
    plan = catalog["version_plan"]
    history.move = PlannedMove(
        "catalog",
        MOVE_VARIANTS[history.seed % len(MOVE_VARIANTS)][0],
        frozenset(NEW_VERSION_TARGETS),
        plan["deadline_unix_s"],
        plan["max_step_ppm"],
        plan.get("cap_per_s"),
        len(catalog["routes"]),
    )
