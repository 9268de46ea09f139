"""Load the example configurations and scale them down to one machine."""

import tomllib
from pathlib import Path
from typing import Any

from attrs import frozen

from wagtailbay_bench.load import TrafficClass
from wagtailbay_bench.measure.const import RATE_SCALE

EXAMPLES_FOLDER = Path(__file__).parents[3] / "examples"


@frozen
class Example:
    """Example configuration of one user, with traffic for its services."""

    name: str
    fleet: dict[str, Any]
    documents: list[dict[str, Any]]
    vm_zones: dict[str, str]
    classes: tuple[TrafficClass, ...]

    @property
    def workspaces(self) -> list[str]:
        """Names of all workspaces in the service documents."""
        return sorted({w["workspace"] for d in self.documents for w in d["workspaces"]})


def load_example(name: str, vms: int | None = None) -> Example:
    """Load an example, with rates and capacities multiplied by RATE_SCALE.

    Args:
        vms: Number of VMs to use from the start of the list; None uses all.
    """
    folder = EXAMPLES_FOLDER / name
    documents_by_name = {
        path.stem: tomllib.loads(path.read_text()) for path in folder.glob("*.toml")
    }
    vm_entries = documents_by_name.pop("vms")["vms"][:vms]
    zones = {vm["vm"]: vm["availability_zone"] for vm in vm_entries}
    fleet = documents_by_name.pop("fleet")
    documents = [scale_document(document) for _, document in sorted(documents_by_name.items())]
    return Example(name, fleet, documents, zones, build_traffic_classes(documents, fleet))


def scale_document(document: dict[str, Any]) -> dict[str, Any]:
    """Scale rates and capacities; remove version plans and drains, which scenarios add."""
    scaled = {k: v for k, v in document.items() if k not in ("version_plan", "drains")}
    scaled["targets"] = [dict(target) for target in document["targets"]]
    scaled["workspaces"] = [
        w | {"rate_per_s": w["rate_per_s"] * RATE_SCALE, "burst": max(1, w["burst"] * RATE_SCALE)}
        for w in document["workspaces"]
    ]
    scaled["regions"] = [
        r | {"capacity_per_s": r["capacity_per_s"] * RATE_SCALE} for r in document["regions"]
    ]
    return scaled


def build_traffic_classes(
    documents: list[dict[str, Any]], fleet: dict[str, Any]
) -> tuple[TrafficClass, ...]:
    """Build a traffic class for each service and workspace, at 60% of the rate limit."""
    zones = tuple(zone["availability_zone"] for zone in fleet["availability_zones"])
    classes = []
    for document in documents:
        non_idempotent_routes = [r for r in document["routes"] if not r.get("idempotent", True)]
        path = (
            (non_idempotent_routes[0]["path_prefix"] + "/{n}")
            if non_idempotent_routes
            else "/item/{n}"
        )
        for workspace_limit in document["workspaces"]:
            classes.append(
                TrafficClass(
                    name=f"{document['service']}/{workspace_limit['workspace']}",
                    service=document["service"],
                    path=path,
                    workspace=workspace_limit["workspace"],
                    rate_per_s=workspace_limit["rate_per_s"] * 0.6,
                    availability_zones=zones,
                    method="POST" if non_idempotent_routes else "GET",
                    idempotent=not non_idempotent_routes,
                    body_bytes=200 if non_idempotent_routes else 0,
                )
            )
    return tuple(classes)
