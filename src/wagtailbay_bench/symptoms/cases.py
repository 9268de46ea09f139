"""Coroutines that reproduce the symptoms described in docs/operators.md."""

from collections import Counter
from collections.abc import Awaitable, Callable
from itertools import cycle

import trio

from wagtailbay_bench.measure.scenarios import start_version_move
from wagtailbay_bench.symptoms.environment import PROXIED_VM, SymptomEnvironment, error_code

SymptomCase = Callable[[SymptomEnvironment], Awaitable[None]]

SERVICE = "records"
WORKSPACE = "unam"
SMALL_WORKSPACE = "uaz"
DEPOSIT_PATH = "/deposits/submit/1"
DEPOSIT_SERVICE = "deposits"
VERSION_PLAN_DURATION_S = 90.0


async def reproduce_refused_within_rate(env: SymptomEnvironment) -> None:
    """Section 5.1: send all requests of a small workspace to one VM, then to another."""
    codes: Counter = Counter()
    for vm in (env.vms[0], env.vms[1]):
        for _ in range(20):
            response = await env.deployment.call(
                vm, f"/{SERVICE}/item/1", workspace=SMALL_WORKSPACE
            )
            codes[error_code(response) or response.status] += 1
    budgets = (await env.fetch_vm_status(env.vms[1]))["budgets"]
    name = f"workspace:{SERVICE}/{SMALL_WORKSPACE}"
    env.check("5.1 rate", codes["rate_exceeded"], "responses with rate_exceeded")
    env.check("5.1 rate", budgets.get(name), f"budgets on {env.vms[1]}")


async def reproduce_region_near_capacity(env: SymptomEnvironment) -> None:
    """Section 5.3: lower the capacity of a region until reads nearly use it up."""
    region = env.deployment.fleet["availability_zones"][0]["region"]
    document = next(d for d in env.deployment.documents if d["service"] == SERVICE)
    lowered_regions = [
        r | {"capacity_per_s": 30 if r["region"] == region else r["capacity_per_s"]}
        for r in document["regions"]
    ]
    (await env.controls.change_document(SERVICE, regions=lowered_regions)).unwrap()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_reads, env, 40.0, 30.0)
        problem = await env.wait_for_problem(f"region {SERVICE}/{region}", "headroom", 25.0)
        nursery.cancel_scope.cancel()
    env.check("5.3 headroom", problem, "problem")
    (await env.controls.change_document(SERVICE, regions=document["regions"])).unwrap()


async def reproduce_move_rolled_back(env: SymptomEnvironment) -> None:
    """Section 5.2: start a move to a version that fails half of its requests."""
    document = next(d for d in env.deployment.documents if d["service"] == SERVICE)
    await start_version_move(document, env.controls, VERSION_PLAN_DURATION_S, error_ppm=500_000)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_reads, env, 60.0, VERSION_PLAN_DURATION_S)
        problem = await env.wait_for_problem(
            f"move {SERVICE}", "rolled back", VERSION_PLAN_DURATION_S
        )
        nursery.cancel_scope.cancel()
    env.check("5.2 move", problem, "problem")
    await env.run_wagtailctl("moves")
    for target in document["targets"][::2]:
        await env.controls.set_behaviour(target["target"], version="v1", error_ppm=0)
    (await env.controls.replace_document(SERVICE, document)).unwrap()


async def reproduce_vm_without_platform(env: SymptomEnvironment) -> None:
    """Section 5.4: cut the link of one VM to the platform."""
    await env.set_platform_link(cut=True)
    problem = await env.wait_for_problem(f"vm {PROXIED_VM}", "does not reach the store", 20.0)
    env.check("5.4 platform", problem, "problem")
    path = f"/{SERVICE}/item/1"
    response = await env.deployment.call(PROXIED_VM, path, workspace=WORKSPACE)
    env.check("5.4 platform", response.status == 200, "reads succeed through peers")
    await env.set_platform_link(cut=False)


async def reproduce_unknown_outcome(env: SymptomEnvironment) -> None:
    """Section 5.5: make a target truncate the response to a non-idempotent request."""
    names = [t for t in env.deployment.target_addresses if t.startswith(DEPOSIT_SERVICE)]
    for name in names:
        await env.controls.set_behaviour(name, truncate_ppm=1_000_000)
    headers = (("Idempotency-Key", "s-1"),)
    options = {"method": "POST", "workspace": WORKSPACE, "headers": headers, "body": b"{}"}
    response = await env.deployment.call(env.vms[0], DEPOSIT_PATH, **options)
    run = next((value for name, value in response.headers if name.lower() == "wagtailbay-run"), "")
    env.check(
        "5.5 unknown", run == "unknown" and error_code(response), "error code with run unknown"
    )
    for name in names:
        await env.controls.set_behaviour(name, truncate_ppm=0)
    repeated = await env.deployment.call(env.vms[1], DEPOSIT_PATH, **options)
    env.check("5.5 unknown", error_code(repeated), "retry refused without a run")
    runs = (await env.controls.count_idempotency_runs())["s-1"]
    env.check("5.5 unknown", runs == 1, "exactly one run on all targets")


async def reproduce_quarantined_request(env: SymptomEnvironment) -> None:
    """Section 5.7: send a request that crashes every target that runs it."""
    codes = []
    for vm in (*env.vms, *env.vms):
        try:
            response = await env.deployment.call(vm, f"/{SERVICE}/crash/9", workspace=WORKSPACE)
            codes.append(error_code(response))
        except RuntimeError:
            codes.append("connection closed")
    env.check("5.7 quarantine", "crashes_targets" in codes and codes, "responses")
    quarantined = (await env.fetch_vm_status(env.vms[0]))["quarantine"]
    env.check("5.7 quarantine", quarantined, f"quarantine on {env.vms[0]}")


async def reproduce_keys_unconfirmed(env: SymptomEnvironment) -> None:
    """Section 5.6: stop the store and freeze all VMs but one, so that no quorum remains."""
    await env.controls.set_store_faults(outage=True)
    for vm in env.vms[1:]:
        env.deployment.vms[vm].suspend()
    code = ""
    with trio.move_on_after(20.0):
        while code != "keys_unconfirmed":
            path = f"/{SERVICE}/item/1"
            response = await env.deployment.call(env.vms[0], path, workspace=WORKSPACE)
            code = error_code(response)
            await trio.sleep(0.5)
    env.check("5.6 keys", code == "keys_unconfirmed", "response with keys_unconfirmed")
    await env.controls.set_store_faults()
    problem = await env.wait_for_problem("fleet", "a quorum is", 20.0)
    env.check("5.6 keys", problem, "problem after the store has recovered")
    for vm in env.vms[1:]:
        env.deployment.vms[vm].resume()
    status = 0
    with trio.move_on_after(20.0):
        while status != 200:
            response = await env.deployment.call(
                env.vms[0], f"/{SERVICE}/item/1", workspace=WORKSPACE
            )
            status = response.status
            await trio.sleep(0.5)
    env.check("5.6 keys", status == 200, "requests succeed again")


async def send_reads(env: SymptomEnvironment, rate_per_s: float, duration_s: float) -> None:
    """Send idempotent requests at a constant rate to the VMs in round-robin order."""
    vms = cycle(env.vms)
    end_s = trio.current_time() + duration_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            nursery.start_soon(_send_read, env, next(vms))
            await trio.sleep(1.0 / rate_per_s)


async def _send_read(env: SymptomEnvironment, vm: str) -> None:
    try:
        await env.deployment.call(vm, f"/{SERVICE}/item/2", workspace=WORKSPACE)
    except RuntimeError:
        return


CASES: dict[str, SymptomCase] = {
    "refused-within-rate": reproduce_refused_within_rate,
    "unknown-outcome": reproduce_unknown_outcome,
    "vm-without-platform": reproduce_vm_without_platform,
    "region-near-capacity": reproduce_region_near_capacity,
    "move-rolled-back": reproduce_move_rolled_back,
    "quarantined-request": reproduce_quarantined_request,
    "keys-unconfirmed": reproduce_keys_unconfirmed,
}
