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
VMS = 3
MAX_VMS = 5
CUT_VM = "vm-cut"
PLATFORM_LINK = "platform"
WARM_UP_S = 6.0
POLL_S = 0.25


@define
class Site:
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
    link: ProgramProcess | None = None
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
        await self._start_cut_vm()
        self.admin_address = free_address("127.0.0.3")
        addresses = ",".join(f"{vm}={a}" for vm, a in self.deployment.vm_addresses.items())
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

    async def _start_cut_vm(self) -> None:
        """Start one more VM whose way to the platform can be cut."""
        route, self.control_address = free_address("127.0.0.4"), free_address("127.0.0.4")
        self.link = self.group.start(
            "link",
            "wagtailbay_standins.link",
            [
                f"--links={PLATFORM_LINK}={route}@{self.deployment.platform_address}",
                f"--control-address={self.control_address}",
            ],
        )
        await self.link.wait_for_event("all_listening")
        self.deployment.platform_routes = {CUT_VM: route}
        self.deployment.place_vm(CUT_VM, next(iter(self.deployment.vm_zones.values())))
        await self.deployment.start_vm(CUT_VM).wait_for_event("ready")

    async def set_link(self, **state: object) -> None:
        """Change the way of one VM to the platform."""
        body = json.dumps({PLATFORM_LINK: state}).encode()
        request = Request("PUT", "/standin/links", (), body)
        answer = (await fetch(self.control_address, request, 2_000)).unwrap()
        if answer.status != 200:
            raise RuntimeError(f"the link cannot be changed: status {answer.status}")

    async def status(self) -> dict[str, Any]:
        """Return the status of the deployment; empty while the store does not answer."""
        header = ("Authorization", f"Bearer {TOKEN}")
        answer = await fetch(self.admin_address, Request("GET", "/v1/status", (header,)), 5_000)
        response = answer.unwrap()
        return json.loads(response.body) if response.status == 200 else {}

    async def entry_status(self, vm: str) -> dict[str, Any]:
        """Return the status of one entry VM."""
        return json.loads((await self.deployment.call(vm, "/-/status")).body)

    async def ctl(self, *argv: str) -> int:
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
                for problem in (await self.status()).get("problems", ()):
                    if problem["subject"].startswith(subject) and text in problem["message"]:
                        return f"{problem['subject']}: {problem['message']}"
                await trio.sleep(POLL_S)
        return None

    def expect(self, symptom: str, seen: object, expected: str) -> None:
        """Print what was seen; nothing seen counts as a failure."""
        print(f"{symptom:<26} {expected}: {seen if seen else 'NOT SEEN'}")
        if not seen:
            self.failures.append(f"{symptom}: {expected}")


def build_site(group: ProcessGroup, name: str) -> Site:
    """Build the site of an example with a few VMs, all of which count for quorums."""
    example = load_example(name)
    zones = dict(list(example.vm_zones.items())[:VMS])
    fleet = {k: v for k, v in example.fleet.items() if k != "quorum_vms"} | {"max_vms": MAX_VMS}
    keys = {workspace: f"symptoms-key-{workspace}" for workspace in example.workspaces}
    deployment = Deployment(group, example.documents, fleet, keys, zones)
    return Site(group, example, deployment)


def error_code(answer: Response) -> str:
    """Return the code of a refusal; empty for an answer of a target."""
    try:
        return json.loads(answer.body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return ""
