"""Start the processes of the compared variants."""

import json
from typing import Any

from attrs import define

from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.path_cost.const import SLOTS_PER_TARGET, TARGET_COUNT, TARGETS_PER_PROCESS
from wagtailbay_bench.path_cost.models import Variant
from wagtailbay_bench.processes import ProcessGroup, ProgramProcess, free_address

KEY = "path-cost-key-0123456789"
SERVICE = "records"
PRODUCT_MODULE = "wagtailbay.programs.entry"
PROFILED_MODULE = "wagtailbay_bench.path_cost.profiled_entry"


@define
class MultiProcessDeployment(Deployment):
    """Deployment that splits the targets over several processes, so that they are no bottleneck."""

    async def _start_targets(self) -> None:
        for document in self.documents:
            targets = document["targets"]
            for offset in range(0, len(targets), TARGETS_PER_PROCESS):
                await self._start_target_process(
                    targets[offset : offset + TARGETS_PER_PROCESS], offset
                )

    async def _start_target_process(self, targets: list[dict[str, Any]], offset: int) -> None:
        specs = []
        for index, target in enumerate(targets):
            target["address"] = free_address(f"127.2.0.{offset + index + 1}")
            self.target_addresses[target["target"]] = target["address"]
            specs.append(f"{target['target']}@{target['address']}@{target['version']}")
        process = self.group.start(
            f"targets-{offset}",
            "wagtailbay_standins.target",
            [f"--targets={','.join(specs)}", f"--behaviour={json.dumps(self.behaviour)}"],
        )
        await process.wait_for_event("all_listening")


def build_fleet_document() -> dict[str, Any]:
    """Build the fleet document of a single VM."""
    zones = [{"availability_zone": zone, "region": "a"} for zone in ("a1", "a2")]
    return {"schema_version": 1, "max_vms": 1, "availability_zones": zones}


def build_service_document() -> dict[str, Any]:
    """Build a service document with limits that are checked but never reached."""
    targets = [
        {
            "target": f"t-{number}",
            "address": "127.0.0.1:0",
            "availability_zone": f"a{number % 2 + 1}",
            "version": "v1",
            "slots": SLOTS_PER_TARGET,
        }
        for number in range(TARGET_COUNT)
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
    group: ProcessGroup, body_bytes: int, entry_module: str = PRODUCT_MODULE
) -> MultiProcessDeployment:
    """Start the platform, the targets and one entry VM."""
    behaviour = {
        "slots": SLOTS_PER_TARGET,
        "service_time_ms": 0.0,
        "connection_cost_ms": 0.0,
        "body_bytes": body_bytes,
    }
    deployment = MultiProcessDeployment(
        group,
        [build_service_document()],
        build_fleet_document(),
        {"reader": KEY},
        {"vm-1": "a1"},
        behaviour,
        entry_module=entry_module,
    )
    await deployment.start()
    return deployment


async def start_bare_forwarder(
    group: ProcessGroup, addresses: list[str]
) -> tuple[ProgramProcess, str]:
    """Start the bare forwarder; return its process and address."""
    address = free_address("127.1.1.1")
    process = group.start(
        "bare",
        "wagtailbay_bench.path_cost.bare",
        [f"--listen-address={address}", f"--targets={','.join(addresses)}"],
    )
    await process.wait_for_event("listening")
    return process, address


async def start_variants(group: ProcessGroup, body_bytes: int) -> list[Variant]:
    """Start all processes and return the direct, bare and product variants."""
    deployment = await start_deployment(group, body_bytes)
    addresses = list(deployment.target_addresses.values())
    bare_forwarder, bare_address = await start_bare_forwarder(group, addresses)
    product_process_id = deployment.vms["vm-1"].process.pid
    product_path = f"/{SERVICE}/item/1"
    return [
        Variant("direct", None, tuple(addresses), "/item/1"),
        Variant("bare", bare_forwarder.process.pid, (bare_address,), "/item/1"),
        Variant("product", product_process_id, (deployment.vm_addresses["vm-1"],), product_path),
    ]
