"""Record the history of one run of real processes under faults drawn from a seed."""

import json
import random
import time
from collections.abc import Mapping, Sequence
from hashlib import sha256
from pathlib import Path
from typing import Any

import trio

from wagtailbay.transport import Request, fetch
from wagtailbay_bench.certificates import CertificateFolder
from wagtailbay_bench.controls import Controls
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.network import PLATFORM, Network
from wagtailbay_bench.processes import ProcessGroup
from wagtailbay_bench.prove.callers import build_callers
from wagtailbay_bench.prove.const import (
    FAULT_INTERVAL_S,
    HISTORY_DURATION_S,
    LAST_CUT_S,
    PAIR_PROBABILITY,
    SETTLE_S,
    TLS_EVERY_SEEDS,
)
from wagtailbay_bench.prove.context import FaultContext
from wagtailbay_bench.prove.faults import FAULTS
from wagtailbay_bench.prove.models import History, RevisionRead
from wagtailbay_bench.prove.moves import watch_move
from wagtailbay_bench.prove.reach import watch_paths
from wagtailbay_bench.prove.scene import (
    ADMIN_TOKENS,
    ADMIN_ZONES,
    BEHAVIOUR,
    KEYS,
    SPARE_KEYS,
    VM_ZONES,
    ZONES,
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
    with ProcessGroup() as group:
        deployment, network = build_deployment(group, seed, documents, vm_flags)
        certificates = issue_certificates(deployment) if seed % TLS_EVERY_SEEDS == 0 else None
        await deployment.start()
        controls = Controls(deployment)
        await prepare_targets(controls, seed)
        until_s = trio.current_time() + duration_s - LAST_CUT_S
        context = FaultContext(
            deployment, network, controls, history, generator, certificates, until_s
        )
        began_s = time.monotonic()
        async with trio.open_nursery() as watching:
            watching.start_soon(watch_paths, context)
            async with trio.open_nursery() as nursery:
                for caller in build_callers(deployment, history):
                    nursery.start_soon(caller.run, began_s + duration_s)
                nursery.start_soon(read_revisions, context, began_s + duration_s)
                nursery.start_soon(watch_move, controls, history, began_s + duration_s)
                nursery.start_soon(bring_faults, context, fault_names, began_s)
            watching.cancel_scope.cancel()
        history.ended_unix_s = time.time()
        history.runs = await controls.run_history()
        history.cut_by_targets = await controls.aborted_response_traces()
        history.seen_headers = await controls.received_header_names()
    return history


def build_deployment(
    group: ProcessGroup,
    seed: int,
    documents: list[dict[str, Any]],
    vm_flags: Mapping[str, str],
) -> tuple[Deployment, Network]:
    """Return the deployment with links between its ends; the store's zone depends on the seed."""
    keys = KEYS | {f"{name}-2": key for name, key in SPARE_KEYS.items()}
    deployment = Deployment(group, documents, fleet_document(), keys, VM_ZONES, BEHAVIOUR)
    deployment.key_workspaces = {f"{name}-2": name for name in SPARE_KEYS}
    deployment.vm_flags = dict(vm_flags)
    deployment.admin_zones = ADMIN_ZONES
    digests = {who: sha256(token.encode()) for who, token in ADMIN_TOKENS.items()}
    deployment.admin_digests = {who: digest.hexdigest() for who, digest in digests.items()}
    target_zones = {t["target"]: t["availability_zone"] for d in documents for t in d["targets"]}
    store_zone = list(ZONES)[seed % len(ZONES)]
    places = {**VM_ZONES, **ADMIN_ZONES, **target_zones, PLATFORM: store_zone}
    deployment.network = Network(ZONES, places)
    return deployment, deployment.network


def issue_certificates(deployment: Deployment) -> CertificateFolder:
    """Let the VMs of a deployment use TLS."""
    path = Path(deployment.group.temp_dir.name) / "certificates"
    folder = CertificateFolder(path, tuple(deployment.vm_zones))
    folder.issue()
    folder.trust(folder.authority)
    deployment.certificate_folder = path
    return folder


async def bring_faults(context: FaultContext, fault_names: Sequence[str], began_s: float) -> None:
    """Start faults at random times; several may hold at once."""
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(context.random.uniform(*FAULT_INTERVAL_S))
            if time.monotonic() > began_s + context.history.duration_s - SETTLE_S:
                break
            pair = context.random.random() < PAIR_PROBABILITY
            for name in context.random.choices(list(fault_names), k=2 if pair else 1):
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
