"""Actions of operators on a running deployment, also during network partitions."""

import json
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import trio

from wagtailbay.access import hash_key
from wagtailbay.transport import Request, fetch
from wagtailbay_bench.prove.const import ADMIN_TIMEOUT_MS, WITHDRAWAL_TIMEOUT_S
from wagtailbay_bench.prove.context import FaultContext
from wagtailbay_bench.prove.models import TargetDrain, UpdateRace, Withdrawal
from wagtailbay_bench.prove.network_faults import NETWORK_FAULTS
from wagtailbay_bench.prove.scenario import ADMIN_TOKENS, SECONDARY_KEYS

PARTITION_FAULTS: Final = ("split-regions", "lose-region", "cut-vm-from-all", "cut-platform")
# Delay between the partition and the operator's action; VMs may still hold fresh data then.
ACTION_DELAY_S: Final = (0.0, 3.0)


async def call_admin(
    context: FaultContext, operator: str, method: str, path: str, body: Any = None
) -> tuple[int, dict[str, Any]]:
    """Send a request to an operator's administration API.

    Returns the status and the decoded body, or status 0 if no response arrived.
    """
    headers = (("Authorization", f"Bearer {ADMIN_TOKENS[operator]}"),)
    data = b"" if body is None else json.dumps(body).encode()
    address = context.deployment.admin_addresses[operator]
    result = await fetch(address, Request(method, path, headers, data), ADMIN_TIMEOUT_MS)
    if result.is_err():
        return 0, {}
    return result.ok_value.status, json.loads(result.ok_value.body)


async def withdraw_key(context: FaultContext) -> None:
    """Withdraw a secondary key that callers still use, and poll until it is in force."""
    workspaces = sorted(SECONDARY_KEYS.keys() - context.withdrawn_workspaces)
    if not workspaces:
        return
    workspace = context.rng.choice(workspaces)
    context.withdrawn_workspaces.add(workspace)
    operator = context.rng.choice(list(ADMIN_TOKENS))
    key_id = hash_key(SECONDARY_KEYS[workspace])
    value = {"workspace": workspace, "withdrawn": True}
    write_result = await context.controls.store.put(f"keys/{key_id}", value, None)
    if write_result.is_err():
        return
    accepted_unix_s, in_force_unix_s = time.time(), None
    with trio.move_on_after(WITHDRAWAL_TIMEOUT_S):
        while in_force_unix_s is None:
            path = f"/v1/keys/{key_id}/withdrawal"
            _, response = await call_admin(context, operator, "GET", path)
            if response.get("state") == "in_force":
                in_force_unix_s = time.time()
            await trio.sleep(0.2)
    withdrawal = Withdrawal(f"{workspace}-2", accepted_unix_s, in_force_unix_s)
    context.history.withdrawals.append(withdrawal)


async def drain_target(context: FaultContext) -> None:
    """Drain a target through the service document; at most three targets are ever drained."""
    target = context.choose_target()
    drain = {"kind": "target", "name": target, "start_unix_s": 0, "deadline_unix_s": time.time()}
    stored = (await context.controls.store.get("documents/records")).unwrap_or(None)
    if stored is None:
        return
    drains = [*stored.value.get("drains", []), drain]
    if len({item["name"] for item in drains}) > 3:
        return
    value = stored.value | {"drains": drains}
    write_result = await context.controls.store.put("documents/records", value, stored.version)
    if write_result.is_ok():
        context.history.target_drains.append(TargetDrain(target, time.time()))
        context.history.accepted_revisions.append((time.time(), write_result.ok_value))


async def race_operators(context: FaultContext) -> None:
    """Submit an update of the same document version from each region at the same time."""
    stored = (await context.controls.store.get("documents/records")).unwrap_or(None)
    if stored is None:
        return
    responses: list[tuple[int, dict[str, Any]]] = []

    async def submit(operator: str) -> None:
        document = stored.value | {"owner": operator}
        body = {"document": document, "expected_version": stored.version, "reason": "race"}
        path = "/v1/documents/records"
        responses.append(await call_admin(context, operator, "PUT", path, body))

    async with trio.open_nursery() as nursery:
        for operator in ADMIN_TOKENS:
            nursery.start_soon(submit, operator)
    accepted_versions = tuple(
        response["version"] for status, response in responses if status in (200, 201)
    )
    rejected_statuses = tuple(status for status, _ in responses if status not in (200, 201))
    context.history.update_races.append(
        UpdateRace(stored.version, accepted_versions, rejected_statuses)
    )
    context.history.accepted_revisions.extend(
        (time.time(), version) for version in accepted_versions
    )


async def withdraw_while_cut(context: FaultContext) -> None:
    """Withdraw a key while a VM, the platform or a region is partitioned."""
    await _act_during_partition(context, withdraw_key)


async def race_while_cut(context: FaultContext) -> None:
    """Submit concurrent updates while a VM, the platform or a region is partitioned."""
    await _act_during_partition(context, race_operators)


async def _act_during_partition(
    context: FaultContext, action: Callable[[FaultContext], Awaitable[None]]
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(NETWORK_FAULTS[context.rng.choice(PARTITION_FAULTS)], context)
        await trio.sleep(context.rng.uniform(*ACTION_DELAY_S))
        nursery.start_soon(action, context)


OPERATOR_FAULTS: dict[str, Callable[[FaultContext], Awaitable[None]]] = {
    "withdraw-key": withdraw_key,
    "drain-target": drain_target,
    "race-operators": race_operators,
    "withdraw-while-cut": withdraw_while_cut,
    "race-while-cut": race_while_cut,
}
