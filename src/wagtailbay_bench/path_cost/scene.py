"""Start the processes whose cost is compared."""

import json
from typing import Any

from attrs import define

from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.path_cost.const import SLOTS, TARGETS, TARGETS_PER_PROCESS
from wagtailbay_bench.path_cost.models import Variant
from wagtailbay_bench.processes import ProcessGroup, ProgramProcess, free_address

KEY = "path-cost-key-0123456789"
SERVICE = "records"
PRODUCT_MODULE = "wagtailbay.programs.entry"
PROFILED_MODULE = "wagtailbay_bench.path_cost.profiled_entry"


@define
class SpreadDeployment(Deployment):
    """Run the targets of a service in several processes, so that they hold nobody up."""

    async def _start_targets(self) -> None:
        for document in self.documents:
            targets = document["targets"]
            for first in range(0, len(targets), TARGETS_PER_PROCESS):
                await self._start_process(targets[first : first + TARGETS_PER_PROCESS], first)

    async def _start_process(self, targets: list[dict[str, Any]], first: int) -> None:
        specs = []
        for index, target in enumerate(targets):
            target["address"] = free_address(f"127.2.0.{first + index + 1}")
            self.target_addresses[target["target"]] = target["address"]
            specs.append(f"{target['target']}@{target['address']}@{target['version']}")
        process = self.group.start(
            f"targets-{first}",
            "wagtailbay_standins.target",
            [f"--targets={','.join(specs)}", f"--behaviour={json.dumps(self.behaviour)}"],
        )
        await process.wait_for_event("all_listening")


def fleet_document() -> dict[str, Any]:
    """Return the document of a fleet of one VM."""
    zones = [{"availability_zone": zone, "region": "a"} for zone in ("a1", "a2")]
    return {"schema_version": 1, "max_vms": 1, "availability_zones": zones}


def service_document() -> dict[str, Any]:
    """Return a service whose limits are checked and never reached."""
    targets = [
        {
            "target": f"t-{number}",
            "address": "127.0.0.1:0",
            "availability_zone": f"a{number % 2 + 1}",
            "version": "v1",
            "slots": SLOTS,
        }
        for number in range(TARGETS)
    ]
    return {
        "schema_version": 1,
        "service": SERVICE,
        "owner": "records-team",
        "routes": [{"name": "read", "path_prefix": "/", "deadline_ms": 3000}],
        "targets": targets,
        "workspaces": [{"workspace": "reader", "rate_per_s": 20_000, "burst": 40_000}],
        "regions": [{"region": "a", "capacity_per_s": 20_000}],
    }


async def start_deployment(
    group: ProcessGroup, answer_bytes: int, entry_module: str = PRODUCT_MODULE
) -> SpreadDeployment:
    """Start targets and one entry VM."""
    behaviour = {
        "slots": SLOTS,
        "service_time_ms": 0.0,
        "connection_cost_ms": 0.0,
        "body_bytes": answer_bytes,
    }
    deployment = SpreadDeployment(
        group,
        [service_document()],
        fleet_document(),
        {"reader": KEY},
        {"vm-1": "a1"},
        behaviour,
        entry_module=entry_module,
    )
    await deployment.start()
    return deployment


async def start_bare(group: ProcessGroup, addresses: list[str]) -> tuple[ProgramProcess, str]:
    """Start the bare forwarder."""
    address = free_address("127.1.1.1")
    process = group.start(
        "bare",
        "wagtailbay_bench.path_cost.bare",
        [f"--listen-address={address}", f"--targets={','.join(addresses)}"],
    )
    await process.wait_for_event("listening")
    return process, address


async def start_variants(group: ProcessGroup, answer_bytes: int) -> list[Variant]:
    """Start everything; returns the direct way, the bare forwarder and the product."""
    deployment = await start_deployment(group, answer_bytes)
    addresses = list(deployment.target_addresses.values())
    bare, bare_address = await start_bare(group, addresses)
    product = deployment.vms["vm-1"].process.pid
    own = f"/{SERVICE}/item/1"
    return [
        Variant("direct", None, tuple(addresses), "/item/1"),
        Variant("bare", bare.process.pid, (bare_address,), "/item/1"),
        Variant("product", product, (deployment.vm_addresses["vm-1"],), own),
    ]
