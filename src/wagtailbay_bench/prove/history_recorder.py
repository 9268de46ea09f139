"""Recorder of a history: real processes run under load and faults chosen by a seed."""

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
    FAULT_PAIR_PROBABILITY,
    HISTORY_DURATION_S,
    LINK_FAULT_MARGIN_S,
    RECOVERY_S,
    TLS_SEED_INTERVAL,
)
from wagtailbay_bench.prove.context import FaultContext
from wagtailbay_bench.prove.faults import ALL_FAULTS
from wagtailbay_bench.prove.isolation import record_isolated_vms
from wagtailbay_bench.prove.models import History, ObservedRevision
from wagtailbay_bench.prove.moves import record_move_steps
from wagtailbay_bench.prove.scenario import (
    ADMIN_TOKENS,
    ADMIN_ZONES,
    DEFAULT_BEHAVIOUR,
    KEYS,
    SECONDARY_KEYS,
    VM_ZONES,
    ZONES,
    build_fleet_document,
    build_service_documents,
    configure_targets,
    record_scenario,
)


async def record_history(
    seed: int,
    fault_names: Sequence[str],
    vm_flags: Mapping[str, str],
    duration_s: float = HISTORY_DURATION_S,
) -> History:
    """Run a deployment under load and faults and return what callers and targets recorded."""
    history = History(seed, duration_s)
    documents = build_service_documents(seed, time.time(), duration_s)
    record_scenario(history, documents)
    rng = random.Random(f"{seed}/faults")
    with ProcessGroup() as group:
        deployment, network = build_deployment(group, seed, documents, vm_flags)
        certificates = enable_tls(deployment) if seed % TLS_SEED_INTERVAL == 0 else None
        await deployment.start()
        controls = Controls(deployment)
        await configure_targets(controls, seed)
        until_s = trio.current_time() + duration_s - LINK_FAULT_MARGIN_S
        context = FaultContext(deployment, network, controls, history, rng, certificates, until_s)
        start_s = time.monotonic()
        async with trio.open_nursery() as watch_nursery:
            watch_nursery.start_soon(record_isolated_vms, context)
            async with trio.open_nursery() as nursery:
                for caller in build_callers(deployment, history):
                    nursery.start_soon(caller.run, start_s + duration_s)
                nursery.start_soon(record_revisions, context, start_s + duration_s)
                nursery.start_soon(record_move_steps, controls, history, start_s + duration_s)
                nursery.start_soon(inject_faults, context, fault_names, start_s)
            watch_nursery.cancel_scope.cancel()
        history.ended_unix_s = time.time()
        history.runs = await controls.run_history()
        history.traces_cut_by_targets = await controls.aborted_response_traces()
        history.seen_headers = await controls.received_header_names()
    return history


def build_deployment(
    group: ProcessGroup,
    seed: int,
    documents: list[dict[str, Any]],
    vm_flags: Mapping[str, str],
) -> tuple[Deployment, Network]:
    """Return the deployment and the network that links its processes.

    The seed selects the availability zone of the store.
    """
    keys = KEYS | {f"{name}-2": key for name, key in SECONDARY_KEYS.items()}
    deployment = Deployment(
        group, documents, build_fleet_document(), keys, VM_ZONES, DEFAULT_BEHAVIOUR
    )
    deployment.key_workspaces = {f"{name}-2": name for name in SECONDARY_KEYS}
    deployment.vm_flags = dict(vm_flags)
    deployment.admin_zones = ADMIN_ZONES
    digests = {operator: sha256(token.encode()) for operator, token in ADMIN_TOKENS.items()}
    deployment.admin_digests = {
        operator: digest.hexdigest() for operator, digest in digests.items()
    }
    target_zones = {t["target"]: t["availability_zone"] for d in documents for t in d["targets"]}
    store_zone = list(ZONES)[seed % len(ZONES)]
    end_zones = {**VM_ZONES, **ADMIN_ZONES, **target_zones, PLATFORM: store_zone}
    deployment.network = Network(ZONES, end_zones)
    return deployment, deployment.network


def enable_tls(deployment: Deployment) -> CertificateFolder:
    """Issue certificates for the VMs of a deployment and make them use TLS."""
    path = Path(deployment.group.temp_dir.name) / "certificates"
    folder = CertificateFolder(path, tuple(deployment.vm_zones))
    folder.issue()
    folder.trust(folder.authority)
    deployment.certificate_folder = path
    return folder


async def inject_faults(context: FaultContext, fault_names: Sequence[str], start_s: float) -> None:
    """Start faults at random times, singly or in pairs; faults may overlap."""
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(context.rng.uniform(*FAULT_INTERVAL_S))
            if time.monotonic() > start_s + context.history.duration_s - RECOVERY_S:
                break
            pair = context.rng.random() < FAULT_PAIR_PROBABILITY
            for name in context.rng.choices(list(fault_names), k=2 if pair else 1):
                context.history.faults.append(f"{time.monotonic() - start_s:.2f} {name}")
                nursery.start_soon(ALL_FAULTS[name], context)


async def record_revisions(context: FaultContext, until_s: float) -> None:
    """Poll which revision each VM has in force."""
    while time.monotonic() < until_s:
        async with trio.open_nursery() as nursery:
            for vm in context.deployment.vm_addresses:
                nursery.start_soon(_record_revision, context, vm)
        await trio.sleep(0.5)


async def _record_revision(context: FaultContext, vm: str) -> None:
    request = Request("GET", "/-/status")
    result = await fetch(context.deployment.vm_addresses[vm], request, 400)
    if result.is_err() or result.ok_value.status != 200:
        return
    status = json.loads(result.ok_value.body)
    if status.get("state", "live") == "joining":
        return
    observation = ObservedRevision(
        vm, status.get("incarnation", 0), time.time(), status["revision"]
    )
    context.history.observed_revisions.append(observation)
