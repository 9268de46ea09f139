"""Run what operators see: races, faults and keys."""

from typing import Any

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when
from support.admin import AdminSite
from support.documents import fleet, service

from wagtailbay.access import hash_key
from wagtailbay.store import VmRecord

scenarios("../features/operators_race.feature")
scenarios("../features/bad_document.feature")
scenarios("../features/keys.feature")

DRAIN = {"kind": "target", "name": "gone", "start_unix_s": 1, "deadline_unix_s": 2}


class Session:
    """Run each step's coroutine against the same store, with servers that live for one step."""

    def __init__(self) -> None:
        self.site = AdminSite()
        self.vms: dict[str, dict[str, Any]] = {}
        self.aliases: dict[str, str] = {}
        self.answers: list[tuple[int, Any]] = []
        self.key: Any = None

    def run(self, step: Any) -> Any:
        """Run one step on a fresh event loop."""

        async def main() -> Any:
            async with trio.open_nursery() as nursery:
                await self.site.start(nursery)
                self.site.store.vm_records = ()
                for vm, status in self.vms.items():
                    await self.site.add_vm(nursery, vm)
                    self.site.statuses[vm].update(status)
                for alias, vm in self.aliases.items():
                    address = next(r.address for r in self.site.store.vm_records if r.vm == vm)
                    self.site.store.vm_records += (VmRecord(alias, address, "a1", "live"),)
                result = await step(self.site)
                await self.site.writer.flush()
                nursery.cancel_scope.cancel()
                return result

        return trio.run(main)


@pytest.fixture
def session() -> Session:
    """Return a session without documents."""
    return Session()


@given(parsers.parse('a deployment with {count:d} entry VMs and the service "records"'))
def deployment(session: Session, count: int) -> None:
    """Submit the fleet document and a service document."""
    session.vms = {f"vm-{number}": {} for number in range(1, count + 1)}

    async def step(site: AdminSite) -> None:
        assert (await site.submit("fleet", fleet()))[0] == 200
        assert (await site.submit("records", service()))[0] == 200

    session.run(step)


@given('"vm-2" lags and "vm-3" is joining')
def lagging(session: Session) -> None:
    """Let two of three VMs not count."""
    session.vms["vm-2"] = {"revision": 1}
    session.vms["vm-3"] = {"state": "joining"}


@given('"vm-1" is also listed as "vm-2" and "vm-3"')
def aliases(session: Session) -> None:
    """List one VM under three names."""
    session.aliases = {"vm-2": "vm-1", "vm-3": "vm-1"}


@when(parsers.parse('"{first}" and "{second}" submit changes of "records" at the same time'))
def race(session: Session, first: str, second: str) -> None:
    """Submit two changes that expect the same version."""

    async def step(site: AdminSite) -> None:
        version = site.store.version("documents/records")

        async def submit(who: str) -> None:
            session.answers.append(await site.submit("records", service(owner=who), version, who))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit, first)
            nursery.start_soon(submit, second)

    session.run(step)


@then("one submission is accepted")
def one_accepted(session: Session) -> None:
    """Guard against two accepted writes from one version."""
    assert sorted(status for status, _ in session.answers) == [200, 409]


@then("the other is answered 409 with the current version")
def other_conflicts(session: Session) -> None:
    """Guard against a conflict that does not say what came first."""
    answers = dict(session.answers)
    assert answers[409]["error"]["current_version"] == answers[200]["version"]
    assert answers[409]["error"]["faults"][0]["path"] == "expected_version"


@then("the audit trail names both operators, one accepted and one refused")
def audit_names_both(session: Session) -> None:
    """Guard against refused attempts that leave no record."""

    async def step(site: AdminSite) -> Any:
        return (await site.call("GET", "/v1/audit"))[1]["records"]

    records = [r for r in session.run(step) if r["subject"] == "documents/records"]
    by_outcome = {(r["who"], r["outcome"]) for r in records if r["from_version"]}
    assert {who for who, _ in by_outcome} == {"ana", "luis"}
    assert sorted(outcome for _, outcome in by_outcome) == ["accepted", "refused"]


@when('the store loses the answer to a change that "ana" submits')
def lost_answer(session: Session) -> None:
    """Submit while the next write's answer is lost."""

    async def step(site: AdminSite) -> None:
        site.store.lose_answers = 1
        version = site.store.version("documents/records")
        session.answers.append(await site.submit("records", service(owner="x"), version))

    session.run(step)


@then("the change is accepted exactly once")
def accepted_once(session: Session) -> None:
    """Guard against an error, or a second write, after a lost answer."""
    status, value = session.answers[0]
    stored = session.site.store.objects["documents/records"]
    assert (status, value["version"], stored.value["owner"]) == (200, stored.version, "x")
    assert session.site.store.calls["put"] == 3 + 3  # Three documents and their audit records.


@when(parsers.parse('"ana" submits "records" with {change}'))
def submit_bad(session: Session, change: str) -> None:
    """Submit a document with one fault."""
    document = service()
    match change:
        case "no slots":
            document["targets"][0]["slots"] = 0
        case "an unknown field":
            document["colour"] = "red"
        case "an unknown zone":
            document["targets"][0]["availability_zone"] = "z9"
        case "a drain of no target":
            document["drains"] = [DRAIN]
        case "another name":
            document["service"] = "other"

    async def step(site: AdminSite) -> None:
        version = site.store.version("documents/records")
        session.answers.append(await site.submit("records", document, version))

    session.run(step)


@then("the submission is answered 422")
def answered_422(session: Session) -> None:
    """Guard against an accepted bad document."""
    assert session.answers[0][0] == 422


@then(parsers.parse('a fault names the field "{field}"'))
def fault_names(session: Session, field: str) -> None:
    """Guard against a fault without its field."""
    faults = session.answers[0][1]["error"]["faults"]
    assert field in {fault["path"] for fault in faults}


@then("the document in force is unchanged")
def unchanged(session: Session) -> None:
    """Guard against a write before validation."""
    assert session.site.store.objects["documents/records"].value == service()


@when('"ana" grants a key to "unam"')
def grant(session: Session) -> None:
    """Grant a key."""
    body = {"workspace": "unam", "reason": "test"}
    _, session.key = session.run(lambda site: site.call("POST", "/v1/keys", body))


@then("the answer shows the key")
def key_shown(session: Session) -> None:
    """Guard against an id that does not belong to the key."""
    assert hash_key(session.key["key"]) == session.key["key_id"]


@then("the store holds only the key's SHA-256")
def key_hidden(session: Session) -> None:
    """Guard against a key in any object, the audit trail included."""
    assert f"keys/{session.key['key_id']}" in session.site.store.objects
    assert session.key["key"] not in str(session.site.store.objects)


@when('"ana" withdraws the key')
def withdraw(session: Session) -> None:
    """Withdraw the key."""
    path = f"/v1/keys/{session.key['key_id']}/withdrawal"
    session.answers.append(session.run(lambda site: site.call("POST", path, {"reason": "test"})))


@then(parsers.parse('the withdrawal is "{state}"'))
def withdrawal_is(session: Session, state: str) -> None:
    """Guard against a withdrawal reported in force without a quorum of distinct VMs."""
    assert session.answers[-1][1]["state"] == state


@then("the store holds the key as withdrawn")
def key_withdrawn(session: Session) -> None:
    """Guard against a key that still works after its withdrawal."""
    stored = session.site.store.objects[f"keys/{session.key['key_id']}"]
    assert stored.value == {"workspace": "unam", "withdrawn": True}


@then('the VMs that lack it are "vm-2" and "vm-3"')
def lacking(session: Session) -> None:
    """Guard against an answer that does not say which VMs to look at."""
    lacking_vms = session.answers[-1][1]["lacking"]
    assert [item["vm"] for item in lacking_vms] == ["vm-2", "vm-3"]


@when("all VMs have applied everything")
def catch_up(session: Session) -> None:
    """Let every VM count again."""
    session.vms = dict.fromkeys(session.vms, {})


@then(parsers.parse('showing the withdrawal answers "{state}"'))
def shown(session: Session, state: str) -> None:
    """Guard against a state that stays pending."""
    path = f"/v1/keys/{session.key['key_id']}/withdrawal"
    assert session.run(lambda site: site.call("GET", path))[1]["state"] == state
