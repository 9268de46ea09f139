"""Test deposits through real processes while a VM is killed and store responses are lost."""

import json
from collections import defaultdict

import trio
from attrs import define, field

from wagtailbay.transport import Request, fetch
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.processes import ProcessGroup

ZONES = {"vm-1": "mx-a1", "vm-2": "mx-a2", "vm-3": "mx-b1"}
REGIONS = {"mx-a1": "mx-a", "mx-a2": "mx-a", "mx-b1": "mx-b"}
FLEET_DOCUMENT = {
    "schema_version": 1,
    "max_vms": 4,
    "availability_zones": [
        {"availability_zone": zone, "region": region} for zone, region in REGIONS.items()
    ],
}
SERVICE_DOCUMENT = {
    "schema_version": 1,
    "service": "deposits",
    "owner": "repository-team",
    "routes": [{"name": "deposit", "path_prefix": "/", "idempotent": False, "deadline_ms": 3_000}],
    "targets": [
        {
            "target": f"deposits-{zone}",
            "address": "127.0.0.1:0",
            "availability_zone": zone,
            "version": "v1",
            "slots": 6,
        }
        for zone in REGIONS
    ],
    "workspaces": [{"workspace": "unam", "rate_per_s": 4_000, "burst": 8_000}],
    "regions": [{"region": region, "capacity_per_s": 400} for region in ("mx-a", "mx-b")],
}


@define
class DepositClient:
    """Submits deposits, retrying each at another VM until it is answered, and records responses."""

    deployment: Deployment
    responses: dict[str, list[tuple[int, bytes, bool]]] = field(factory=lambda: defaultdict(list))
    failed_calls: int = 0

    async def deposit(self, number: int) -> None:
        """Submit one deposit up to five times, at the VMs in turn."""
        key = f"deposit-{number}"
        headers = (
            ("Authorization", f"Bearer {self.deployment.keys['unam']}"),
            ("Idempotency-Key", key),
        )
        request = Request("POST", "/deposits/thesis", headers, f"thesis {number}".encode())
        for attempt in range(5):
            vm = list(ZONES)[(number + attempt) % len(ZONES)]
            answer = await fetch(self.deployment.vm_addresses[vm], request, 4_000)
            if answer.is_err():
                self.failed_calls += 1
                continue
            response = answer.ok_value
            not_run = ("wagtailbay-run", "not-run") in response.headers
            self.responses[key].append((response.status, response.body, not_run))
            if response.status in (200, 409):
                return
            await trio.sleep(0.2)


class TestDepositsThroughProcesses:
    """Tests of idempotent deposits through real processes."""

    async def test_death_and_lost_answers(self) -> None:
        """Guards against a deposit that runs twice after a VM is killed or responses are lost.

        A VM is killed and store responses are lost. All submissions of a deposit must get the
        same outcome.
        """
        with ProcessGroup() as group:
            behaviour = {"service_time_ms": 40, "queue": 60}
            deployment = Deployment(
                group, [SERVICE_DOCUMENT], FLEET_DOCUMENT, {"unam": "k" * 20}, ZONES, behaviour
            )
            await deployment.start()
            await trio.sleep(0.3)  # New VMs start without tokens and must accrue some first.
            client = DepositClient(deployment)
            faults = Request(
                "PUT", "/standin/faults", (), json.dumps({"lose_answers": 25}).encode()
            )
            await fetch(deployment.platform_address, faults, 2_000)
            async with trio.open_nursery() as nursery:
                for number in range(60):
                    nursery.start_soon(client.deposit, number)
                    await trio.sleep(0.01)
                    if number == 30:
                        deployment.vms["vm-2"].kill()
            runs = await self._runs(deployment)
        self._check_history(client, runs)

    @staticmethod
    async def _runs(deployment: Deployment) -> dict[str, list[str]]:
        runs = defaultdict(list)
        for target, address in deployment.target_addresses.items():
            answer = await fetch(address, Request("GET", "/standin/runs"), 2_000)
            for key, count in json.loads(answer.ok_value.body)["runs"].items():
                runs[key] += [target] * count
        return runs

    @staticmethod
    def _check_history(client: DepositClient, runs: dict[str, list[str]]) -> None:
        assert client.failed_calls > 0, "killing the VM must have interrupted some calls"
        assert [key for key, targets in runs.items() if len(targets) > 1] == []
        answered = 0
        for key, responses in client.responses.items():
            bodies = {body for status, body, _ in responses if status == 200}
            assert len(bodies) <= 1
            answered += len(bodies)
            for body in bodies:
                outcome = json.loads(body)
                assert (outcome["idempotency_key"], [outcome["target"]]) == (key, runs[key])
            if all(not_run for *_, not_run in responses) and len(responses) == 5:
                assert key not in runs
        assert answered >= 50, "only deposits at the killed VM may remain unanswered"
