"""A request that crashes upstreams comes again after all gateways were killed and started again."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab_2 import (  # noqa: E402
    Answer,
    Client,
    Deployment,
    Message,
    Record,
    Store,
    Upstream,
    configuration,
    has_trouble,
    run_case,
)

ZONES = {"centro-a": "centro", "centro-b": "centro"}
MACHINES = 3
UPSTREAMS = 4
CONTACT_S = 4.0
MAX_RETRIES = 3
PHASES = 5
# All machines are in touch again before the crashing request comes.
CALM_S = CONTACT_S + 1.0
REQUESTS_PER_PHASE = 4
REQUEST_INTERVAL_S = 2.5
DOWN_S = 2.0
# Three heartbeats of an upstream, after which its entry is removed.
EXPIRY_S = 4.5
CLIENTS_PER_MACHINE = 5
WORK_S = 0.4
CRASHING_PATH = "/deposito/7781"
CRASHING_BODY = b"a record that no upstream can take"


class FragileUpstream(Upstream):
    """An upstream that ends as soon as it begins to run one kind of request."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self.ended = asyncio.Event()
        self.crash: tuple[str, float] | None = None

    async def run(self, message: Message, request_id: str) -> None:
        """Crash at the crashing request; work on all others."""
        if message.first_line.split(" ")[1] == CRASHING_PATH and message.body == CRASHING_BODY:
            self.crash = (request_id, self.record.now_s())
            self.record.write(f"{self.name} begins to run {request_id} and crashes")
            self.ended.set()
            self.end()
        await super().run(message, request_id)


async def play(record: Record) -> bool:
    """Return whether the rule was broken."""
    store = Store(record)
    deployment = Deployment(record, ZONES)
    upstreams: list[FragileUpstream] = []
    answers: list[Answer] = []
    background: set[asyncio.Task] = set()

    async def add_upstream(zone: str) -> None:
        name = f"i-{len(upstreams):04d}"
        upstream = FragileUpstream(record, name, "recepcion", zone, 8, WORK_S)
        await upstream.start()
        upstreams.append(upstream)
        store.put("servers", upstream.name, upstream.entry())
        background.add(asyncio.create_task(come_back(upstream)))

    async def come_back(upstream: FragileUpstream) -> None:
        await upstream.ended.wait()
        await asyncio.sleep(DOWN_S)
        await add_upstream(upstream.zone)
        await asyncio.sleep(EXPIRY_S - DOWN_S)
        store.remove("servers", upstream.name)

    async def send_deposits(client: Client) -> None:
        number = 0
        while True:
            number += 1
            body = f"deposit {id(client)} {number}".encode()
            answers.append(await client.send("POST", f"/deposito/{number}", body=body))
            if not answers[-1].status:
                await asyncio.sleep(0.3)

    async def wait_until_ready() -> None:
        for machine in deployment.machines:
            if not await deployment.wait_ready(machine):
                raise RuntimeError(f"{machine.name} is not ready")

    try:
        route = {
            "name": "deposito",
            "path_prefix": "/deposito/",
            "kind": "unsafe",
            "timeout": "2000ms",
            "service": "recepcion",
        }
        store.put("config", "main", configuration(7, [route]))
        for index in range(UPSTREAMS):
            await add_upstream(list(ZONES)[index % 2])
        for index in range(MACHINES):
            address = await store.listen(f"front-{index}")
            zone = list(ZONES)[index % 2]
            deployment.start(deployment.add_machine(f"front-{index}", zone, address))
        await wait_until_ready()
        for machine in deployment.machines:
            for _ in range(CLIENTS_PER_MACHINE):
                client = Client(record, machine.name, machine.front)
                background.add(asyncio.create_task(send_deposits(client)))
        for phase in range(PHASES):
            await asyncio.sleep(CALM_S)
            for _ in range(REQUESTS_PER_PHASE):
                machine = random.choice(deployment.machines)
                client = Client(record, machine.name, machine.front)
                await client.send("POST", CRASHING_PATH, body=CRASHING_BODY)
                client.close()
                await asyncio.sleep(REQUEST_INTERVAL_S)
            if has_trouble() and phase < PHASES - 1:
                for machine in deployment.machines:
                    deployment.signal(machine, signal.SIGKILL)
                for machine in deployment.machines:
                    machine.process.wait()
                    deployment.start(machine)
                await wait_until_ready()
        for task in background:
            task.cancel()
    finally:
        deployment.stop()
    return judge(record, upstreams, answers)


def judge(record: Record, upstreams: list[FragileUpstream], answers: list[Answer]) -> bool:
    """Count how often the request reached upstreams after it had crashed three."""
    crashes_s = sorted(upstream.crash[1] for upstream in upstreams if upstream.crash)
    late = [
        at_s
        for at_s in crashes_s
        if len(crashes_s) >= MAX_RETRIES and at_s > crashes_s[2] + CONTACT_S
    ]
    lost = sum(
        arrival.outcome == "lost at the exit"
        for upstream in upstreams
        if upstream.crash
        for arrival in upstream.arrivals
    )
    statuses = [answer.status for answer in answers]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    record.write(f"crashes at {[round(at_s, 2) for at_s in crashes_s]}")
    record.write(f"answers to the deposits by status: {counts}")
    summary = (
        f"{len(crashes_s)} upstreams crashed, {len(late)} of them by retries later than `contact` "
        f"after the third; {lost} deposits were lost in crashes"
    )
    record.write(summary)
    print(summary)
    return len(late) > MAX_RETRIES


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play, 115.0)
