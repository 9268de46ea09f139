"""Run a small deployment of an example with its administration program."""

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
    """Hold the deployment and what was seen of each symptom.

    Attributes:
        link: The stand-in between one VM and the platform.
        failures: Symptoms that the status did not show.
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
        """Return the switches of the stand-ins."""
        return Controls(self.deployment)

    @property
    def vms(self) -> list[str]:
        """Return the names of all entry VMs."""
        return list(self.deployment.vm_addresses)

    async def start(self) -> None:
        """Start everything and wait until shares have been given out."""
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
        """Start one more VM whose way to the platform can be cut."""
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
        """Change the way of one VM to the platform."""
        body = json.dumps({PLATFORM_LINK: state}).encode()
        request = Request("PUT", "/standin/links", (), body)
        response = (await fetch(self.control_address, request, 2_000)).unwrap()
        if response.status != 200:
            raise RuntimeError(f"the link cannot be changed: status {response.status}")

    async def fetch_status(self) -> dict[str, Any]:
        """Return the status of the deployment; empty while the store does not answer."""
        header = ("Authorization", f"Bearer {TOKEN}")
        result = await fetch(self.admin_address, Request("GET", "/v1/status", (header,)), 5_000)
        response = result.unwrap()
        return json.loads(response.body) if response.status == 200 else {}

    async def fetch_vm_status(self, vm: str) -> dict[str, Any]:
        """Return the status of one entry VM."""
        return json.loads((await self.deployment.call(vm, "/-/status")).body)

    async def run_wagtailctl(self, *argv: str) -> int:
        """Run one command of wagtailctl and print what it prints."""
        print(f"$ wagtailctl {' '.join(argv)}")
        environ = {
            "WAGTAILBAY_ADMIN_ADDRESS": self.admin_address,
            "WAGTAILBAY_TOKEN": TOKEN,
        }
        return await run_ctl(argv, environ, print, print)

    async def wait_for_problem(self, subject: str, text: str, timeout_s: float) -> str | None:
        """Return the first message under problems that names a subject and holds a text."""
        with trio.move_on_after(timeout_s):
            while True:
                for problem in (await self.fetch_status()).get("problems", ()):
                    if problem["subject"].startswith(subject) and text in problem["message"]:
                        return f"{problem['subject']}: {problem['message']}"
                await trio.sleep(POLL_INTERVAL_S)
        return None

    def check(self, symptom: str, observed: object, expectation: str) -> None:
        """Print what was seen; nothing seen counts as a failure."""
        print(f"{symptom:<26} {expectation}: {observed if observed else 'NOT SEEN'}")
        if not observed:
            self.failures.append(f"{symptom}: {expectation}")


def build_environment(group: ProcessGroup, name: str) -> SymptomEnvironment:
    """Build the site of an example with a few VMs, all of which count for quorums."""
    example = load_example(name)
    zones = dict(list(example.vm_zones.items())[:VM_COUNT])
    fleet = {k: v for k, v in example.fleet.items() if k != "quorum_vms"} | {"max_vms": MAX_VMS}
    keys = {workspace: f"symptoms-key-{workspace}" for workspace in example.workspaces}
    deployment = Deployment(group, example.documents, fleet, keys, zones)
    return SymptomEnvironment(group, example, deployment)


def error_code(response: Response) -> str:
    """Return the code of a refusal; empty for an answer of a target."""
    try:
        return json.loads(response.body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return ""
