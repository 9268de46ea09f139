"""Bring about one symptom after another."""

from collections import Counter
from collections.abc import Awaitable, Callable
from itertools import cycle

import trio

from wagtailbay_bench.measure.scenarios import start_version
from wagtailbay_bench.symptoms.site import CUT_VM, Site, error_code

Case = Callable[[Site], Awaitable[None]]

SERVICE = "records"
WORKSPACE = "unam"
SMALL_WORKSPACE = "uaz"
ONCE_PATH = "/deposits/submit/1"
ONCE_SERVICE = "deposits"
PLAN_S = 90.0


async def refused_within_rate(site: Site) -> None:
    """Section 5.1: all requests of a small workspace jump to one VM."""
    codes: Counter = Counter()
    for vm in (site.vms[0], site.vms[1]):
        for _ in range(20):
            answer = await site.deployment.call(vm, f"/{SERVICE}/item/1", workspace=SMALL_WORKSPACE)
            codes[error_code(answer) or answer.status] += 1
    budgets = (await site.entry_status(site.vms[1]))["budgets"]
    name = f"workspace:{SERVICE}/{SMALL_WORKSPACE}"
    site.expect("5.1 rate", codes["rate_exceeded"], "answers rate_exceeded")
    site.expect("5.1 rate", budgets.get(name), f"budgets on {site.vms[1]}")


async def region_near_capacity(site: Site) -> None:
    """Section 5.3: a region's capacity is lowered to what it is used for."""
    region = site.deployment.fleet["availability_zones"][0]["region"]
    document = next(d for d in site.deployment.documents if d["service"] == SERVICE)
    low = [
        r | {"capacity_per_s": 30 if r["region"] == region else r["capacity_per_s"]}
        for r in document["regions"]
    ]
    (await site.controls.change_document(SERVICE, regions=low)).unwrap()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_reads, site, 40.0, 30.0)
        problem = await site.wait_for_problem(f"region {SERVICE}/{region}", "headroom", 25.0)
        nursery.cancel_scope.cancel()
    site.expect("5.3 headroom", problem, "problem")
    (await site.controls.change_document(SERVICE, regions=document["regions"])).unwrap()


async def move_rolled_back(site: Site) -> None:
    """Section 5.2: a new version fails every second request."""
    document = next(d for d in site.deployment.documents if d["service"] == SERVICE)
    await start_version(document, site.controls, PLAN_S, error_ppm=500_000)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_reads, site, 60.0, PLAN_S)
        problem = await site.wait_for_problem(f"move {SERVICE}", "rolled back", PLAN_S)
        nursery.cancel_scope.cancel()
    site.expect("5.2 move", problem, "problem")
    await site.ctl("moves")
    for target in document["targets"][::2]:
        await site.controls.set_behaviour(target["target"], version="v1", error_ppm=0)
    (await site.controls.replace_document(SERVICE, document)).unwrap()


async def vm_without_platform(site: Site) -> None:
    """Section 5.4: one VM cannot reach the platform."""
    await site.set_link(cut=True)
    problem = await site.wait_for_problem(f"vm {CUT_VM}", "does not reach the store", 20.0)
    site.expect("5.4 platform", problem, "problem")
    path = f"/{SERVICE}/item/1"
    answer = await site.deployment.call(CUT_VM, path, workspace=WORKSPACE)
    site.expect("5.4 platform", answer.status == 200, "reads go on through peers")
    await site.set_link(cut=False)


async def unknown_outcome(site: Site) -> None:
    """Section 5.5: a target breaks off the answer of a non-idempotent request."""
    names = [t for t in site.deployment.target_addresses if t.startswith(ONCE_SERVICE)]
    for name in names:
        await site.controls.set_behaviour(name, truncate_ppm=1_000_000)
    headers = (("Idempotency-Key", "s-1"),)
    options = {"method": "POST", "workspace": WORKSPACE, "headers": headers, "body": b"{}"}
    answer = await site.deployment.call(site.vms[0], ONCE_PATH, **options)
    run = next((value for name, value in answer.headers if name.lower() == "wagtailbay-run"), "")
    site.expect("5.5 unknown", run == "unknown" and error_code(answer), "run unknown, code")
    for name in names:
        await site.controls.set_behaviour(name, truncate_ppm=0)
    again = await site.deployment.call(site.vms[1], ONCE_PATH, **options)
    site.expect("5.5 unknown", error_code(again), "the repeat is answered without a run")
    runs = (await site.controls.idempotency_runs())["s-1"]
    site.expect("5.5 unknown", runs == 1, "one run on all targets")


async def quarantined_request(site: Site) -> None:
    """Section 5.7: one request ends each target that runs it."""
    codes = []
    for vm in (*site.vms, *site.vms):
        try:
            answer = await site.deployment.call(vm, f"/{SERVICE}/crash/9", workspace=WORKSPACE)
            codes.append(error_code(answer))
        except RuntimeError:
            codes.append("broken off")
    site.expect("5.7 quarantine", "crashes_targets" in codes and codes, "answers")
    listed = (await site.entry_status(site.vms[0]))["quarantine"]
    site.expect("5.7 quarantine", listed, f"quarantine on {site.vms[0]}")


async def keys_unconfirmed(site: Site) -> None:
    """Section 5.6: the store is down and too few VMs run for a quorum."""
    await site.controls.set_store_faults(outage=True)
    for vm in site.vms[1:]:
        site.deployment.vms[vm].freeze()
    code = ""
    with trio.move_on_after(20.0):
        while code != "keys_unconfirmed":
            path = f"/{SERVICE}/item/1"
            answer = await site.deployment.call(site.vms[0], path, workspace=WORKSPACE)
            code = error_code(answer)
            await trio.sleep(0.5)
    site.expect("5.6 keys", code == "keys_unconfirmed", "answers keys_unconfirmed")
    await site.controls.set_store_faults()
    problem = await site.wait_for_problem("fleet", "a quorum is", 20.0)
    site.expect("5.6 keys", problem, "problem once the store is back")
    for vm in site.vms[1:]:
        site.deployment.vms[vm].thaw()
    status = 0
    with trio.move_on_after(20.0):
        while status != 200:
            answer = await site.deployment.call(
                site.vms[0], f"/{SERVICE}/item/1", workspace=WORKSPACE
            )
            status = answer.status
            await trio.sleep(0.5)
    site.expect("5.6 keys", status == 200, "requests are answered again")


async def send_reads(site: Site, rate_per_s: float, duration_s: float) -> None:
    """Send idempotent requests to the VMs in turn at a steady rate."""
    vms = cycle(site.vms)
    end_s = trio.current_time() + duration_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            nursery.start_soon(_send_read, site, next(vms))
            await trio.sleep(1.0 / rate_per_s)


async def _send_read(site: Site, vm: str) -> None:
    try:
        await site.deployment.call(vm, f"/{SERVICE}/item/2", workspace=WORKSPACE)
    except RuntimeError:
        return


CASES: dict[str, Case] = {
    "refused-within-rate": refused_within_rate,
    "unknown-outcome": unknown_outcome,
    "vm-without-platform": vm_without_platform,
    "region-near-capacity": region_near_capacity,
    "move-rolled-back": move_rolled_back,
    "quarantined-request": quarantined_request,
    "keys-unconfirmed": keys_unconfirmed,
}
