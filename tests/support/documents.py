"""Factories of small valid configuration documents."""

import copy
from typing import Any

FLEET: dict[str, Any] = {
    "schema_version": 1,
    "max_vms": 4,
    "availability_zones": [
        {"availability_zone": "a1", "region": "a"},
        {"availability_zone": "b1", "region": "b"},
    ],
    "links": [{"from_region": "a", "to_region": "b", "capacity_mbit_per_s": 4000}],
}
SERVICE: dict[str, Any] = {
    "schema_version": 1,
    "service": "records",
    "owner": "team",
    "routes": [{"name": "read", "path_prefix": "/"}],
    "targets": [
        {
            "target": f"records-{number}",
            "address": f"127.0.0.1:{9000 + number}",
            "availability_zone": zone,
            "version": f"v{number}",
            "slots": 4,
        }
        for number, zone in ((1, "a1"), (2, "b1"))
    ],
    "workspaces": [{"workspace": "unam", "rate_per_s": 50, "burst": 100}],
    "regions": [
        {"region": "a", "capacity_per_s": 100},
        {"region": "b", "capacity_per_s": 100},
    ],
}


def fleet_document(**changes: Any) -> dict[str, Any]:
    """Return a valid fleet document with some fields replaced."""
    return copy.deepcopy(FLEET) | changes


def service_document(**changes: Any) -> dict[str, Any]:
    """Return a valid service document with some fields replaced."""
    return copy.deepcopy(SERVICE) | changes
