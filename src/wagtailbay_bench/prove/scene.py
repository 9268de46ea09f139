"""Build the small deployment in which process histories run."""

from typing import Any

ZONES = {"n1": "north", "n2": "north", "s1": "south", "s2": "south"}
# Three VMs in one region: they are a quorum of five and only two of them read the store.
VM_ZONES = {"vm-1": "n1", "vm-2": "n2", "vm-3": "s1", "vm-4": "s2", "vm-5": "n1"}
QUORUM = 3
# One operator in each region, who submits at an administration API there.
ADMIN_ZONES = {"ana": "n1", "luis": "s1"}
ADMIN_TOKENS = {"ana": "token-ana", "luis": "token-luis"}
WORKSPACES = {"large": (60.0, 60.0), "small": (10.0, 20.0), "flood": (5.0, 10.0)}
KEYS = {"large": "key-large", "small": "key-small", "flood": "key-flood"}
SPARE_KEYS = {"large": "key-large-2", "small": "key-small-2", "flood": "key-flood-2"}
BEHAVIOUR = {"slots": 4, "queue": 8, "service_time_ms": 4}


def fleet_document() -> dict[str, Any]:
    """Return the fleet document."""
    zones = [{"availability_zone": z, "region": r} for z, r in ZONES.items()]
    return {"schema_version": 1, "max_vms": 5, "availability_zones": zones}


def service_document() -> dict[str, Any]:
    """Return a service with an idempotent, a non-idempotent and an open route."""
    targets = [
        {
            "target": f"t-{zone}-{number}",
            "address": "127.0.0.1:0",
            "availability_zone": zone,
            "version": "v1",
            "slots": 4,
        }
        for zone in ZONES
        for number in (1, 2)
    ]
    return {
        "schema_version": 1,
        "service": "records",
        "owner": "records-team",
        "routes": [
            {"name": "read", "path_prefix": "/", "deadline_ms": 3000, "idle_timeout_ms": 700},
            {
                "name": "deposit",
                "path_prefix": "/deposit",
                "idempotent": False,
                "deadline_ms": 3000,
                "idle_timeout_ms": 1500,
            },
            {"name": "public", "path_prefix": "/public", "open": True, "deadline_ms": 3000},
        ],
        "targets": targets,
        "workspaces": [
            {"workspace": name, "rate_per_s": rate, "burst": burst}
            for name, (rate, burst) in WORKSPACES.items()
        ],
        "regions": [
            {"region": "north", "capacity_per_s": 300},
            {"region": "south", "capacity_per_s": 300},
        ],
    }
