"""An upstream is removed 4.2 s after the end of a short outage of the store."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab_3 import Lab, Route, Upstream, run_case

DRAIN_S = 2.5
CONTACT_S = 4.0
OUTAGE_S = 1.0
UPSTREAMS = 8


async def send_requests(lab: Lab, ends_s: float) -> None:
    """Send safe requests to all gateways, four at a time to each, almost without a pause."""

    async def send_to(number: int) -> None:
        while lab.record.now_s() < ends_s:
            await lab.call(lab.gateways[number], "GET", "/a/x")
            await asyncio.sleep(0.005)

    await asyncio.gather(
        *(send_to(number) for number in range(len(lab.gateways)) for _ in range(4))
    )


async def case(lab: Lab, trouble: bool) -> list[str]:
    """Return the requests that reach a removed upstream later than ``drain``."""
    for number in range(UPSTREAMS):
        zone = "centro-a" if number % 2 else "centro-b"
        upstream = Upstream(lab.record, f"i-{number}", "svc-a", zone, work_s=0.01)
        await lab.add_upstream(upstream)
    await lab.start([Route("/a/", "safe", "svc-a")], 3)
    await asyncio.sleep(5)
    lab.store.is_silent = trouble
    lab.record.add("the store is silent" if trouble else "no outage")
    await asyncio.sleep(OUTAGE_S)
    lab.store.is_silent = False
    lab.record.add("the store answers again")
    back_s = lab.record.now_s()
    requests = asyncio.create_task(send_requests(lab, back_s + CONTACT_S + 0.2 + 4.0))
    await asyncio.sleep(CONTACT_S + 0.2)
    # Two upstreams leave one after the other. They never report draining, and they go on serving.
    acknowledged_s = {}
    for upstream in lab.upstreams[:2]:
        lab.store.delete("servers", upstream.name)
        acknowledged_s[upstream.name] = lab.record.now_s()
        lab.record.add(f"{upstream.name} is gone: acknowledged by the store")
        await asyncio.sleep(0.05)
    await requests
    return [
        f"{upstream.name} gets {request.headers['request-id']} "
        f"{arrived_s - acknowledged_s[upstream.name]:.3f} s after it was gone, {DRAIN_S} allowed"
        for upstream in lab.upstreams[:2]
        for arrived_s, request in upstream.arrivals
        if arrived_s - acknowledged_s[upstream.name] > DRAIN_S
    ]


if __name__ == "__main__":
    run_case(__file__, case)
