"""Small deployment of an example with an admin API, in which symptoms are reproduced."""

import hashlib
import json
from typing import Any

import trio
from attrs import define, field

from wagtailbay.ctl import run as run_ctl
from wagtailbay.transport import Request, Response, fetch
from wagtailbay_bench.controls import Controls
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.measure.examples import Example, load_example
from wagtailbay_bench.processes import ProcessGroup, ProgramProcess, free_address

TOKEN = "symptoms-token"
VM_COUNT = 3
MAX_VMS = 5
PROXIED_VM = "vm-cut"
PLATFORM_LINK = "platform"
WARM_UP_S = 6.0
POLL_INTERVAL_S = 0.25


@define
class SymptomEnvironment:
    """Deployment with an admin API and the checks of reproduced symptoms.

    Attributes:
        admin_address: Address of the admin API.
        control_address: Control address of the link stand-in.
        link_process: Link stand-in between PROXIED_VM and the platform.
        failures: Checks that did not observe the expected effect.
    """

    group: ProcessGroup
    example: Example
    deployment: Deployment
    admin_address: str = ""
    control_address: str = ""
    link_process: ProgramProcess | None = None
    failures: list[str] = field(factory=list)

    @property
    def controls(self) -> Controls:
        """Controls of the deployment's stand-ins."""
        return Controls(self.deployment)

    @property
    def vms(self) -> list[str]:
        """Names of all entry VMs."""
        return list(self.deployment.vm_addresses)

    async def start(self) -> None:
        """Start all processes and allow time for the VMs to receive their shares."""
        await self.deployment.start()
        await self._start_proxied_vm()
        self.admin_address = free_address("127.0.0.3")
        addresses = ",".join(
            f"{vm}={address}" for vm, address in self.deployment.vm_addresses.items()
        )
        admin = self.group.start(
            "admin",
            "wagtailbay.programs.admin",
            [
                f"--listen-address={self.admin_address}",
                f"--platform-address={self.deployment.platform_address}",
                f"--admin-tokens=operator={hashlib.sha256(TOKEN.encode()).hexdigest()}",
                f"--entry-addresses={addresses}",
            ],
        )
        await admin.wait_for_event("listening")
        await trio.sleep(WARM_UP_S)

    async def _start_proxied_vm(self) -> None:
        """Start an additional VM that reaches the platform through the link stand-in."""
        route, self.control_address = free_address("127.0.0.4"), free_address("127.0.0.4")
        self.link_process = self.group.start(
            "link",
            "wagtailbay_standins.link",
            [
                f"--links={PLATFORM_LINK}={route}@{self.deployment.platform_address}",
                f"--control-address={self.control_address}",
            ],
        )
        await self.link_process.wait_for_event("all_listening")
        self.deployment.platform_routes = {PROXIED_VM: route}
        self.deployment.add_vm(PROXIED_VM, next(iter(self.deployment.vm_zones.values())))
        await self.deployment.start_vm(PROXIED_VM).wait_for_event("ready")

    async def set_platform_link(self, **state: object) -> None:
        """Change the state of the link between PROXIED_VM and the platform."""
        body = json.dumps({PLATFORM_LINK: state}).encode()
        request = Request("PUT", "/standin/links", (), body)
        response = (await fetch(self.control_address, request, 2_000)).unwrap()
        if response.status != 200:
            raise RuntimeError(f"link stand-in rejected the change with status {response.status}")

    async def fetch_status(self) -> dict[str, Any]:
        """Fetch the status from the admin API; return an empty dict on an error response."""
        header = ("Authorization", f"Bearer {TOKEN}")
        result = await fetch(self.admin_address, Request("GET", "/v1/status", (header,)), 5_000)
        response = result.unwrap()
        return json.loads(response.body) if response.status == 200 else {}

    async def fetch_vm_status(self, vm: str) -> dict[str, Any]:
        """Fetch the status of one entry VM."""
        return json.loads((await self.deployment.call(vm, "/-/status")).body)

    async def run_wagtailctl(self, *argv: str) -> int:
        """Run a wagtailctl command, print its output and return its exit status."""
        print(f"$ wagtailctl {' '.join(argv)}")
        environ = {
            "WAGTAILBAY_ADMIN_ADDRESS": self.admin_address,
            "WAGTAILBAY_TOKEN": TOKEN,
        }
        return await run_ctl(argv, environ, print, print)

    async def wait_for_problem(self, subject: str, text: str, timeout_s: float) -> str | None:
        """Wait until the status lists a problem with this subject prefix and message text.

        Returns None if no such problem appears within the timeout.
        """
        with trio.move_on_after(timeout_s):
            while True:
                for problem in (await self.fetch_status()).get("problems", ()):
                    if problem["subject"].startswith(subject) and text in problem["message"]:
                        return f"{problem['subject']}: {problem['message']}"
                await trio.sleep(POLL_INTERVAL_S)
        return None

    def check(self, symptom: str, observed: object, expectation: str) -> None:
        """Print the observed value; record a failure if it is empty or false."""
        print(f"{symptom:<26} {expectation}: {observed if observed else 'NOT OBSERVED'}")
        if not observed:
            self.failures.append(f"{symptom}: {expectation}")


def build_environment(group: ProcessGroup, name: str) -> SymptomEnvironment:
    """Build the environment of an example with a few VMs that all count toward quorums."""
    example = load_example(name)
    zones = dict(list(example.vm_zones.items())[:VM_COUNT])
    fleet = {k: v for k, v in example.fleet.items() if k != "quorum_vms"} | {"max_vms": MAX_VMS}
    keys = {workspace: f"symptoms-key-{workspace}" for workspace in example.workspaces}
    deployment = Deployment(group, example.documents, fleet, keys, zones)
    return SymptomEnvironment(group, example, deployment)


def error_code(response: Response) -> str:
    """Return the error code of a refusal; empty for a response of a target."""
    try:
        return json.loads(response.body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return ""
