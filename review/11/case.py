"""Upstreams are removed 4.2 s after the end of a short outage of the store."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab_3 import Lab, Route, Upstream, run_case

DRAIN_S = 2.5
CONTACT_S = 4.0
OUTAGE_S = 1.0
# How long a leaving upstream goes on serving beyond ``drain``.
EXTRA_S = 0.25
UPSTREAMS = 15
REQUESTS_AT_ONCE = 8


async def send_requests(lab: Lab, ends_s: float) -> None:
    """Send requests to all gateways, half of them unsafe, almost without a pause."""

    async def send_to(number: int, method: str, path: str) -> None:
        while lab.record.now_s() < ends_s:
            await lab.call(lab.gateways[number], method, path)
            await asyncio.sleep(0.005)

    kinds = [("GET", "/a/x"), ("POST", "/b/x")]
    await asyncio.gather(
        *(
            send_to(gateway, *kinds[number % 2])
            for gateway in range(len(lab.gateways))
            for number in range(REQUESTS_AT_ONCE)
        )
    )


async def remove(lab: Lab, upstream: Upstream, acknowledged_s: dict[str, float]) -> None:
    """Let an upstream leave without reporting that it drains; it serves a little longer."""
    lab.store.delete("servers", upstream.name)
    acknowledged_s[upstream.name] = lab.record.now_s()
    lab.record.add(f"{upstream.name} is gone: acknowledged by the store")
    await asyncio.sleep(DRAIN_S + EXTRA_S)
    lab.record.add(f"{upstream.name} exits")
    upstream.stop()


async def case(lab: Lab, trouble: bool) -> list[str]:
    """Return the requests that reach a removed upstream later than ``drain``."""
    for number in range(UPSTREAMS):
        zone = "centro-a" if number % 2 else "centro-b"
        await lab.add_upstream(Upstream(lab.record, f"i-{number}", "svc-a", zone, work_s=0.1))
    routes = [Route("/a/", "safe", "svc-a"), Route("/b/", "unsafe", "svc-a")]
    await lab.start(routes, 3)
    await asyncio.sleep(5)
    lab.store.is_silent = trouble
    lab.record.add("the store is silent" if trouble else "no outage")
    await asyncio.sleep(OUTAGE_S)
    lab.store.is_silent = False
    lab.record.add("the store answers again")
    requests = asyncio.create_task(send_requests(lab, lab.record.now_s() + CONTACT_S + 4.0))
    await asyncio.sleep(CONTACT_S + 0.2)
    acknowledged_s: dict[str, float] = {}
    async with asyncio.TaskGroup() as leaving:
        for upstream in lab.upstreams[:2]:
            leaving.create_task(remove(lab, upstream, acknowledged_s))
            await asyncio.sleep(0.05)
    await requests
    return [
        f"{upstream.name} gets {' '.join(request.first[:2])} id {request.headers['request-id']} "
        f"{arrived_s - acknowledged_s[upstream.name]:.3f} s after it was gone, {DRAIN_S} s allowed"
        for upstream in lab.upstreams[:2]
        for arrived_s, request in upstream.arrivals
        if arrived_s - acknowledged_s[upstream.name] > DRAIN_S
    ]


if __name__ == "__main__":
    run_case(__file__, case)
