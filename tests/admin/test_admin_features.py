"""Feature tests of the administration API: concurrent submissions, validation and keys."""

from typing import Any

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when
from support.admin import AdminTestServer
from support.documents import fleet_document, service_document

from wagtailbay.access import hash_key
from wagtailbay.store import VmRecord

scenarios("../features/concurrent_submissions.feature")
scenarios("../features/invalid_document.feature")
scenarios("../features/keys.feature")

DRAIN_OF_UNKNOWN_TARGET = {
    "kind": "target",
    "name": "gone",
    "start_unix_s": 1,
    "deadline_unix_s": 2,
}


class ScenarioContext:
    """Shares the store and the received responses between the steps of a scenario.

    Each step runs in its own event loop, with servers that run only for that step.
    """

    def __init__(self) -> None:
        self.server = AdminTestServer()
        self.vms: dict[str, dict[str, Any]] = {}
        self.aliases: dict[str, str] = {}
        self.responses: list[tuple[int, Any]] = []
        self.key: Any = None

    def run(self, step: Any) -> Any:
        """Start the servers, run one step in a new event loop and return its result."""

        async def main() -> Any:
            async with trio.open_nursery() as nursery:
                await self.server.start(nursery)
                self.server.store.vm_records = ()
                for vm, status in self.vms.items():
                    await self.server.add_vm(nursery, vm)
                    self.server.statuses[vm].update(status)
                for alias, vm in self.aliases.items():
                    address = next(r.address for r in self.server.store.vm_records if r.vm == vm)
                    self.server.store.vm_records += (VmRecord(alias, address, "a1", "live"),)
                result = await step(self.server)
                await self.server.writer.flush()
                nursery.cancel_scope.cancel()
                return result

        return trio.run(main)


@pytest.fixture
def context() -> ScenarioContext:
    """Return a context without documents and VMs."""
    return ScenarioContext()


@given(parsers.parse('a deployment with {count:d} entry VMs and the service "records"'))
def submit_documents(context: ScenarioContext, count: int) -> None:
    """Submit the fleet document and a service document."""
    context.vms = {f"vm-{number}": {} for number in range(1, count + 1)}

    async def step(server: AdminTestServer) -> None:
        assert (await server.submit("fleet", fleet_document()))[0] == 200
        assert (await server.submit("records", service_document()))[0] == 200

    context.run(step)


@given('"vm-2" lags and "vm-3" is joining')
def some_vms_lag(context: ScenarioContext) -> None:
    """Make two of three VMs not count towards the quorum."""
    context.vms["vm-2"] = {"revision": 1}
    context.vms["vm-3"] = {"state": "joining"}


@given('"vm-1" is also listed as "vm-2" and "vm-3"')
def vm_listed_three_times(context: ScenarioContext) -> None:
    """List one VM under three names."""
    context.aliases = {"vm-2": "vm-1", "vm-3": "vm-1"}


@when(parsers.parse('"{first}" and "{second}" submit changes of "records" at the same time'))
def submit_concurrently(context: ScenarioContext, first: str, second: str) -> None:
    """Submit two changes that expect the same version."""

    async def step(server: AdminTestServer) -> None:
        version = server.store.version("documents/records")

        async def submit(who: str) -> None:
            context.responses.append(
                await server.submit("records", service_document(owner=who), version, who)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit, first)
            nursery.start_soon(submit, second)

    context.run(step)


@then("one submission is accepted")
def check_one_accepted(context: ScenarioContext) -> None:
    """Guard against accepting two writes that expect the same version."""
    assert sorted(status for status, _ in context.responses) == [200, 409]


@then("the other gets a 409 response with the current version")
def check_version_conflict(context: ScenarioContext) -> None:
    """Guard against a conflict response without the current version."""
    responses = dict(context.responses)
    assert responses[409]["error"]["current_version"] == responses[200]["version"]
    assert responses[409]["error"]["faults"][0]["path"] == "expected_version"


@then("the audit trail names both operators, one accepted and one refused")
def check_audit_of_both(context: ScenarioContext) -> None:
    """Guard against rejected submissions without an audit record."""

    async def step(server: AdminTestServer) -> Any:
        return (await server.request("GET", "/v1/audit"))[1]["records"]

    records = [r for r in context.run(step) if r["subject"] == "documents/records"]
    by_outcome = {(r["who"], r["outcome"]) for r in records if r["from_version"]}
    assert {who for who, _ in by_outcome} == {"ana", "luis"}
    assert sorted(outcome for _, outcome in by_outcome) == ["accepted", "refused"]


@when('the store loses the response to a change that "ana" submits')
def submit_with_lost_response(context: ScenarioContext) -> None:
    """Submit a document while the response to the next write is lost."""

    async def step(server: AdminTestServer) -> None:
        server.store.lose_answers = 1
        version = server.store.version("documents/records")
        context.responses.append(
            await server.submit("records", service_document(owner="x"), version)
        )

    context.run(step)


@then("the change is accepted exactly once")
def check_accepted_once(context: ScenarioContext) -> None:
    """Guard against an error or a second write after a lost response."""
    status, value = context.responses[0]
    stored = context.server.store.objects["documents/records"]
    assert (status, value["version"], stored.value["owner"]) == (200, stored.version, "x")
    assert context.server.store.calls["put"] == 3 + 3  # Three documents and their audit records.


@when(parsers.parse('"ana" submits "records" with {change}'))
def submit_invalid(context: ScenarioContext, change: str) -> None:
    """Submit a document with one error."""
    document = service_document()
    match change:
        case "no slots":
            document["targets"][0]["slots"] = 0
        case "an unknown field":
            document["colour"] = "red"
        case "an unknown zone":
            document["targets"][0]["availability_zone"] = "z9"
        case "a drain of no target":
            document["drains"] = [DRAIN_OF_UNKNOWN_TARGET]
        case "another name":
            document["service"] = "other"

    async def step(server: AdminTestServer) -> None:
        version = server.store.version("documents/records")
        context.responses.append(await server.submit("records", document, version))

    context.run(step)


@then("the response status is 422")
def check_status_422(context: ScenarioContext) -> None:
    """Guard against accepting an invalid document."""
    assert context.responses[0][0] == 422


@then(parsers.parse('an error names the field "{field}"'))
def check_error_field(context: ScenarioContext, field: str) -> None:
    """Guard against an error that does not name its field."""
    faults = context.responses[0][1]["error"]["faults"]
    assert field in {fault["path"] for fault in faults}


@then("the stored document is unchanged")
def check_document_unchanged(context: ScenarioContext) -> None:
    """Guard against storing a document before it is validated."""
    assert context.server.store.objects["documents/records"].value == service_document()


@when('"ana" grants a key to "unam"')
def grant_key(context: ScenarioContext) -> None:
    """Grant a key and keep the response."""
    body = {"workspace": "unam", "reason": "test"}
    _, context.key = context.run(lambda server: server.request("POST", "/v1/keys", body))


@then("the response contains the key")
def check_key_in_response(context: ScenarioContext) -> None:
    """Guard against a response whose key and id do not match."""
    assert hash_key(context.key["key"]) == context.key["key_id"]


@then("the store holds only the key's SHA-256")
def check_only_digest_stored(context: ScenarioContext) -> None:
    """Guard against storing the key itself in any object, including audit records."""
    assert f"keys/{context.key['key_id']}" in context.server.store.objects
    assert context.key["key"] not in str(context.server.store.objects)


@when('"ana" withdraws the key')
def withdraw_key(context: ScenarioContext) -> None:
    """Withdraw the key and keep the response."""
    path = f"/v1/keys/{context.key['key_id']}/withdrawal"
    context.responses.append(
        context.run(lambda server: server.request("POST", path, {"reason": "test"}))
    )


@then(parsers.parse('the withdrawal is "{state}"'))
def check_withdrawal_response(context: ScenarioContext, state: str) -> None:
    """Guard against reporting a withdrawal as in force without a quorum of distinct VMs."""
    assert context.responses[-1][1]["state"] == state


@then("the store holds the key as withdrawn")
def check_key_marked_withdrawn(context: ScenarioContext) -> None:
    """Guard against a withdrawal that does not change the stored key."""
    stored = context.server.store.objects[f"keys/{context.key['key_id']}"]
    assert stored.value == {"workspace": "unam", "withdrawn": True}


@then('the VMs that have not applied it are "vm-2" and "vm-3"')
def check_missing_vms(context: ScenarioContext) -> None:
    """Guard against a response that does not list the VMs that lag."""
    missing_vms = context.responses[-1][1]["lacking"]
    assert [item["vm"] for item in missing_vms] == ["vm-2", "vm-3"]


@when("all VMs have caught up")
def all_vms_catch_up(context: ScenarioContext) -> None:
    """Make all VMs live and current."""
    context.vms = dict.fromkeys(context.vms, {})


@then(parsers.parse('the withdrawal is reported as "{state}"'))
def check_withdrawal_state(context: ScenarioContext, state: str) -> None:
    """Guard against a withdrawal that is still reported as pending."""
    path = f"/v1/keys/{context.key['key_id']}/withdrawal"
    assert context.run(lambda server: server.request("GET", path))[1]["state"] == state
