"""Record the history of one run of real processes under faults drawn from a seed."""

import json
import random
import time
from collections.abc import Mapping, Sequence

import trio

from wagtailbay.transport import Request, fetch
from wagtailbay_bench.controls import Controls
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.processes import ProcessGroup
from wagtailbay_bench.prove.callers import build_callers
from wagtailbay_bench.prove.const import (
    FAULT_INTERVAL_S,
    HISTORY_DURATION_S,
    SETTLE_S,
)
from wagtailbay_bench.prove.faults import FAULTS, FaultContext
from wagtailbay_bench.prove.models import History, RevisionRead
from wagtailbay_bench.prove.moves import watch_move
from wagtailbay_bench.prove.scene import (
    BEHAVIOUR,
    KEYS,
    SPARE_KEYS,
    VM_ZONES,
    describe_scene,
    fleet_document,
    prepare_targets,
    service_documents,
)


async def record_history(
    seed: int,
    fault_names: Sequence[str],
    vm_flags: Mapping[str, str],
    duration_s: float = HISTORY_DURATION_S,
) -> History:
    """Run a deployment under load and faults; returns what callers and targets saw."""
    history = History(seed, duration_s)
    documents = service_documents(seed, time.time(), duration_s)
    describe_scene(history, documents)
    generator = random.Random(f"{seed}/faults")
    keys = KEYS | {f"{name}-2": key for name, key in SPARE_KEYS.items()}
    with ProcessGroup() as group:
        deployment = Deployment(group, documents, fleet_document(), keys, VM_ZONES, BEHAVIOUR)
        deployment.key_workspaces = {f"{name}-2": name for name in SPARE_KEYS}
        deployment.vm_flags = dict(vm_flags)
        await deployment.start()
        controls = Controls(deployment)
        await prepare_targets(controls, seed)
        context = FaultContext(deployment, controls, history, generator)
        began_s = time.monotonic()
        async with trio.open_nursery() as nursery:
            for caller in build_callers(deployment, history):
                nursery.start_soon(caller.run, began_s + duration_s)
            nursery.start_soon(read_revisions, context, began_s + duration_s)
            nursery.start_soon(watch_move, controls, history, began_s + duration_s)
            nursery.start_soon(bring_faults, context, fault_names, began_s)
        history.ended_unix_s = time.time()
        history.runs = await controls.history()
        history.cut_by_targets = await controls.cut_traces()
        history.seen_headers = await controls.seen_headers()
    return history


async def bring_faults(context: FaultContext, fault_names: Sequence[str], began_s: float) -> None:
    """Start faults at random times; several may hold at once."""
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(context.random.uniform(*FAULT_INTERVAL_S))
            if time.monotonic() > began_s + context.history.duration_s - SETTLE_S:
                break
            name = context.random.choice(list(fault_names))
            context.history.faults.append(f"{time.monotonic() - began_s:.2f} {name}")
            nursery.start_soon(FAULTS[name], context)


async def read_revisions(context: FaultContext, until_s: float) -> None:
    """Read again and again which revision each VM has in force."""
    while time.monotonic() < until_s:
        async with trio.open_nursery() as nursery:
            for vm in context.deployment.vm_addresses:
                nursery.start_soon(_read_revision, context, vm)
        await trio.sleep(0.5)


async def _read_revision(context: FaultContext, vm: str) -> None:
    request = Request("GET", "/-/status")
    answer = await fetch(context.deployment.vm_addresses[vm], request, 400)
    if answer.is_err() or answer.ok_value.status != 200:
        return
    status = json.loads(answer.ok_value.body)
    if status.get("state", "live") == "joining":
        return
    read = RevisionRead(vm, status.get("incarnation", 0), time.time(), status["revision"])
    context.history.revisions.append(read)
