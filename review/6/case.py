"""A zone loses power, and right after that the configuration changes."""

import asyncio
import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab_2 import (  # noqa: E402
    Answer,
    Client,
    Deployment,
    Machine,
    Record,
    Store,
    Upstream,
    configuration,
    has_trouble,
    run_case,
)

ZONES = {"centro-a": "centro", "centro-b": "centro"}
# All machines that watch the store are in the first zone, all upstreams in the second.
LOST_ZONE, OTHER_ZONE = ZONES
MACHINES = 4
CONFIG_APPLY_S = 2.5
DARK_S = 5.5
ROUNDS = 5
CLIENTS_PER_MACHINE = 16
WORK_S = 0.3
OLD_SERVICE, NEW_SERVICE = "recepcion", "recepcion-nueva"
# No configuration moves the route of this path.
LASTING_PATH = f"/deposito-{ROUNDS}/1"
LASTING_KEY = "lasting-key"
WITHDRAWN_KEYS = [f"withdrawn-key-{index}" for index in range(ROUNDS)]


@dataclass
class Round:
    """What the store acknowledged in one round."""

    path: str
    key: str
    configured_s: float


def write_configuration(store: Store, version: int, moved: int) -> None:
    """Write a configuration in which the first routes are moved and the first keys withdrawn."""
    routes = [
        {
            "name": f"route-{index}",
            "path_prefix": f"/deposito-{index}/",
            "kind": "unsafe",
            "timeout": "2000ms",
            "service": NEW_SERVICE if index < moved else OLD_SERVICE,
        }
        for index in range(ROUNDS + 1)
    ]
    tenant = {
        "name": "facultad",
        "api_keys": [LASTING_KEY, *WITHDRAWN_KEYS[moved:]],
        "priority": 1,
        "rate_per_s": 0,
        "burst": 0,
        "home_regions": [],
    }
    store.put("config", "main", configuration(version, routes, [tenant]))


async def play(record: Record) -> bool:
    """Return whether the rule was broken."""
    store = Store(record)
    deployment = Deployment(record, ZONES)
    upstreams: list[Upstream] = []
    answers: dict[tuple[str, str], list[Answer]] = {}
    rounds: list[Round] = []

    async def add_upstream(service: str) -> None:
        name = f"i-{len(upstreams):04d}"
        upstream = Upstream(record, name, service, OTHER_ZONE, 32, WORK_S)
        await upstream.start()
        upstreams.append(upstream)
        store.put("servers", upstream.name, upstream.entry())

    async def send_requests(client: Client, path: str, key: str) -> None:
        while True:
            answer = await client.send("POST", path, key, body=b"x" * 200)
            answers.setdefault((path, key), []).append(answer)
            if answer.status == 401:
                await asyncio.sleep(0.1)

    def start_clients(machines: list[Machine], path: str, key: str) -> list[asyncio.Task]:
        clients = [
            Client(record, machine.name, machine.front)
            for machine in machines
            for _ in range(CLIENTS_PER_MACHINE)
        ]
        return [asyncio.create_task(send_requests(client, path, key)) for client in clients]

    async def play_round(index: int) -> None:
        lost = [machine for machine in deployment.machines if machine.zone == LOST_ZONE]
        others = [machine for machine in deployment.machines if machine.zone == OTHER_ZONE]
        path, key = f"/deposito-{index}/1", WITHDRAWN_KEYS[index]
        tasks = start_clients(others, path, LASTING_KEY) + start_clients(others, LASTING_PATH, key)
        # A random moment, whatever the watches' rhythm is.
        await asyncio.sleep(random.uniform(2.0, 4.0))
        dark_until_s = record.now_s() + DARK_S
        if has_trouble():
            # Like a machine without power, a stopped process neither answers nor resets.
            for machine in lost:
                deployment.signal(machine, signal.SIGSTOP)
        await asyncio.sleep(random.uniform(0.05, 0.5))
        write_configuration(store, 8 + index, index + 1)
        configured_s = record.now_s()
        record.write(f"the store acknowledges that {path} moves and {key} is withdrawn")
        rounds.append(Round(path, key, configured_s))
        await asyncio.sleep(dark_until_s - record.now_s())
        if has_trouble():
            for machine in lost:
                deployment.signal(machine, signal.SIGKILL)
                machine.process.wait()
                deployment.start(machine)
        for task in tasks:
            task.cancel()
        # All machines are in touch again before the next round.
        await asyncio.sleep(6.0)

    async def start_machines() -> None:
        """Start the machines twice: the first start shows which of them watch the store."""
        for index in range(MACHINES):
            address = await store.listen(f"front-{index}")
            deployment.add_machine(f"front-{index}", OTHER_ZONE, address)
        for _ in range(2):
            for machine in deployment.machines:
                deployment.start(machine)
            for machine in deployment.machines:
                if not await deployment.wait_ready(machine):
                    raise RuntimeError(f"{machine.name} is not ready")
            await asyncio.sleep(4.0)
            watching = store.watchers("config")
            record.write(f"the machines that watch the store: {sorted(watching)}")
            if any(machine.zone == LOST_ZONE for machine in deployment.machines):
                return
            for machine in deployment.machines:
                deployment.signal(machine, signal.SIGKILL)
                machine.process.wait()
                machine.starts = 0
                deployment.move(machine, LOST_ZONE if machine.name in watching else OTHER_ZONE)

    try:
        write_configuration(store, 7, 0)
        for service in (OLD_SERVICE, NEW_SERVICE):
            for _ in range(4):
                await add_upstream(service)
        await start_machines()
        await asyncio.sleep(6.0)
        for index in range(ROUNDS):
            await play_round(index)
    finally:
        deployment.stop()
    return judge(record, upstreams, rounds, answers)


def judge(
    record: Record,
    upstreams: list[Upstream],
    rounds: list[Round],
    answers: dict[tuple[str, str], list[Answer]],
) -> bool:
    """Look for requests that ran as only the older version allows.

    The clients use the machines that keep their power.
    """
    ran_by = {
        arrival.request_id: upstream for upstream in upstreams for arrival in upstream.arrivals
    }
    moved, withdrawn = 0, 0
    for played in rounds:
        for answer in answers[(played.path, LASTING_KEY)]:
            age_s = answer.sent_s - played.configured_s
            upstream = ran_by.get(answer.request_id)
            if age_s > CONFIG_APPLY_S and upstream and upstream.service == OLD_SERVICE:
                moved += 1
                record.write(
                    f"CONFIG: {answer.request_id} was sent to {answer.machine} {age_s:.3f} s "
                    f"after {played.path} moved, and {upstream.name} of {OLD_SERVICE} ran it"
                )
        for answer in answers[(LASTING_PATH, played.key)]:
            age_s = answer.sent_s - played.configured_s
            if age_s > CONFIG_APPLY_S and answer.request_id in ran_by:
                withdrawn += 1
                record.write(
                    f"CONFIG: {answer.request_id} was sent to {answer.machine} {age_s:.3f} s "
                    f"after {played.key} was withdrawn, and ran"
                )
    for (path, key), ended in answers.items():
        statuses = [answer.status for answer in ended]
        counts = {status: statuses.count(status) for status in sorted(set(statuses))}
        record.write(f"answers to {path} with {key} by status: {counts}")
    summary = f"{moved} ran at the old service, {withdrawn} ran with a withdrawn key"
    record.write(summary)
    print(summary)
    return moved + withdrawn > 0


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play, 110.0)
