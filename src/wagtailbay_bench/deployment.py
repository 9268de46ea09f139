"""Start a complete deployment: platform, targets, entry VMs and admin APIs."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import trio
from attrs import define, field
from result import Ok

from wagtailbay.access import hash_key
from wagtailbay.store import HttpObjectStore
from wagtailbay.transport import Request, Response, fetch
from wagtailbay_bench.network import PLATFORM, Network
from wagtailbay_bench.processes import ProcessGroup, ProgramProcess, free_address


@define
class Deployment:
    """Processes and addresses of a deployment.

    Attributes:
        documents: Service documents as decoded JSON; target addresses are overwritten.
        fleet: Fleet document as decoded JSON.
        keys: API keys granted at the start, by workspace or by a name in ``key_workspaces``.
        key_workspaces: Workspace of each key whose name is not its workspace.
        vm_zones: Availability zone of each entry VM.
        behaviour: Initial behaviour settings of all targets.
        vm_flags: Additional flags of all entry VMs.
        entry_module: Module that runs as the entry program.
        platform_routes: Addresses through which some VMs reach the platform, by VM.
        network: Links between the processes; None connects them directly.
        certificate_folder: Folder with ``<vm>/certificate``, ``<vm>/key`` and ``<vm>/authority``;
            None runs the VMs without TLS.
        admin_zones: Availability zone of each admin API.
        admin_digests: SHA-256 digest of each operator's token.
    """

    group: ProcessGroup
    documents: list[dict[str, Any]]
    fleet: dict[str, Any]
    keys: Mapping[str, str]
    vm_zones: dict[str, str]
    behaviour: Mapping[str, Any] = field(factory=dict)
    key_workspaces: Mapping[str, str] = field(factory=dict)
    vm_flags: dict[str, str] = field(factory=dict)
    entry_module: str = "wagtailbay.programs.entry"
    platform_address: str = ""
    vm_addresses: dict[str, str] = field(factory=dict)
    peer_addresses: dict[str, str] = field(factory=dict)
    platform_routes: Mapping[str, str] = field(factory=dict)
    vms: dict[str, ProgramProcess] = field(factory=dict)
    target_addresses: dict[str, str] = field(factory=dict)
    network: Network | None = None
    certificate_folder: Path | None = None
    admin_zones: Mapping[str, str] = field(factory=dict)
    admin_digests: Mapping[str, str] = field(factory=dict)
    admin_addresses: dict[str, str] = field(factory=dict)

    async def start(self) -> None:
        """Start all processes and wait until each VM is ready and each admin API is listening."""
        self.platform_address = free_address("127.0.0.2")
        platform = self.group.start(
            "platform",
            "wagtailbay_standins.platform",
            [f"--listen-address={self.platform_address}"],
        )
        await platform.wait_for_event("listening")
        await self._start_targets()
        await self._write_initial_objects()
        for vm, zone in self.vm_zones.items():
            self.add_vm(vm, zone)
        if self.network is not None:
            self._add_links(self.network)
            await self.network.start(self.group)
        for vm in self.vm_zones:
            self.start_vm(vm)
        admins = [self._start_admin(name) for name in self.admin_zones]
        for vm in self.vms.values():
            await vm.wait_for_event("ready")
        for admin in admins:
            await admin.wait_for_event("listening")

    def _add_links(self, network: Network) -> None:
        """Add a link for each connection that a VM or an admin API opens."""
        for name in (*self.vm_zones, *self.admin_zones):
            network.add_link(name, PLATFORM, self.platform_address)
        for vm in self.vm_zones:
            for peer, address in self.peer_addresses.items():
                if peer != vm:
                    network.add_link(vm, peer, address)
            for target, address in self.target_addresses.items():
                network.add_link(vm, target, address)

    def _route(self, source: str, destination: str, address: str) -> str:
        """Return the address through which a process reaches another, by link or directly."""
        if self.network is None:
            return address
        return self.network.routes.get((source, destination), address)

    def _start_admin(self, name: str) -> ProgramProcess:
        """Start an admin API that reads the status of the VMs without links."""
        self.admin_addresses[name] = free_address("127.0.0.5")
        arguments = [
            f"--listen-address={self.admin_addresses[name]}",
            f"--platform-address={self._route(name, PLATFORM, self.platform_address)}",
            f"--admin-tokens={_format_pairs(self.admin_digests)}",
            f"--entry-addresses={_format_pairs(self.vm_addresses)}",
        ]
        return self.group.start(name, "wagtailbay.programs.admin", arguments)

    async def _start_targets(self) -> None:
        for number, document in enumerate(self.documents):
            specs = []
            for index, target in enumerate(document["targets"]):
                target["address"] = free_address(f"127.2.{number}.{index + 1}")
                self.target_addresses[target["target"]] = target["address"]
                specs.append(f"{target['target']}@{target['address']}@{target['version']}")
            process = self.group.start(
                f"targets-{document['service']}",
                "wagtailbay_standins.target",
                [f"--targets={','.join(specs)}", f"--behaviour={json.dumps(self.behaviour)}"],
            )
            await process.wait_for_event("all_listening")

    async def _write_initial_objects(self) -> None:
        store = HttpObjectStore(self.platform_address)
        objects: dict[str, Any] = {"documents/fleet": self.fleet}
        for document in self.documents:
            objects[f"documents/{document['service']}"] = document
        for name, key in self.keys.items():
            workspace = self.key_workspaces.get(name, name)
            objects[f"keys/{hash_key(key)}"] = {"workspace": workspace}
        for key, value in objects.items():
            put_result = await store.put(key, value, 0)
            if not isinstance(put_result, Ok):
                raise RuntimeError(f"cannot write {key}: {put_result}")

    def add_vm(self, vm: str, availability_zone: str) -> None:
        """Assign the addresses of a VM; running VMs discover it when it connects to them."""
        host = f"127.1.0.{len(self.vm_addresses) + 1}"
        self.vm_zones[vm] = availability_zone
        self.vm_addresses[vm] = free_address(host)
        self.peer_addresses[vm] = free_address(host)

    def start_vm(self, vm: str) -> ProgramProcess:
        """Start the process of an entry VM at its assigned addresses."""
        peers = {name: a for name, a in self.peer_addresses.items() if name != vm}
        platform = self.platform_routes.get(vm, self._route(vm, PLATFORM, self.platform_address))
        arguments = [
            f"--vm={vm}",
            f"--availability-zone={self.vm_zones[vm]}",
            f"--listen-address={self.vm_addresses[vm]}",
            f"--platform-address={platform}",
            f"--peer-listen-address={self.peer_addresses[vm]}",
            f"--peers={_format_pairs(peers)}",
            *self._route_flags(vm, peers),
            *self._certificate_flags(vm),
            *(f"{flag}={value}" for flag, value in self.vm_flags.items()),
        ]
        self.vms[vm] = self.group.start(vm, self.entry_module, arguments)
        return self.vms[vm]

    def _route_flags(self, vm: str, peers: Mapping[str, str]) -> list[str]:
        if self.network is None:
            return []
        peer_routes = {name: self._route(vm, name, address) for name, address in peers.items()}
        target_routes = {a: self._route(vm, name, a) for name, a in self.target_addresses.items()}
        return [
            f"--peer-routes={_format_pairs(peer_routes)}",
            f"--target-routes={_format_pairs(target_routes)}",
        ]

    def _certificate_flags(self, vm: str) -> list[str]:
        if self.certificate_folder is None:
            return ["--peer-insecure=on"]
        names = ("certificate", "key", "authority")
        return [f"--peer-{name}={self.certificate_folder / vm / name}" for name in names]

    async def restart_vms(self, batch_size: int) -> None:
        """Restart all VMs gracefully at the same addresses, ``batch_size`` at a time."""
        names = list(self.vm_zones)
        for offset in range(0, len(names), batch_size):
            async with trio.open_nursery() as nursery:
                for vm in names[offset : offset + batch_size]:
                    nursery.start_soon(self._restart_vm, vm)

    async def _restart_vm(self, vm: str) -> None:
        process = self.vms[vm]
        process.terminate()
        while process.process.poll() is None:
            await trio.sleep(0.05)
        await self.start_vm(vm).wait_for_event("ready")

    async def call(
        self,
        vm: str,
        path: str,
        *,
        method: str = "GET",
        workspace: str | None = None,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        timeout_ms: int = 10_000,
    ) -> Response:
        """Send one request to an entry VM, with the key of the workspace if one is given.

        Raises:
            RuntimeError: The VM sent no complete response.
        """
        if workspace is not None:
            headers += (("Authorization", f"Bearer {self.keys[workspace]}"),)
        request = Request(method, path, headers, body)
        result = await fetch(self.vm_addresses[vm], request, timeout_ms)
        if not isinstance(result, Ok):
            raise RuntimeError(f"{vm} {path}: {result.err_value}")
        return result.ok_value


def _format_pairs(pairs: Mapping[str, str]) -> str:
    return ",".join(f"{name}={value}" for name, value in pairs.items())
