"""Test writes, authentication, request handling and problems of the administration API."""

import string

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from support.admin import NOW_UNIX_S, AdminTestServer
from support.documents import fleet_document, service_document
from support.properties import PROPERTY

from wagtailbay.admin import build_handler, parse_token_digests
from wagtailbay.admin.fleet import FleetView, VmReport
from wagtailbay.admin.overview import fleet_problems, move_problems
from wagtailbay.admin.tokens import TokenAuthenticator
from wagtailbay.admin.writes import write_object
from wagtailbay.audit import AuditWriter
from wagtailbay.config import FleetDocument
from wagtailbay.store import VmRecord
from wagtailbay.transport import Request, fetch
from wagtailbay_bench.memory_store import MemoryStore

PATH_SUFFIXES = st.text(string.ascii_letters + "/%{}.?=&0123456789[]#:@", max_size=30)


class TestWriteObject:
    """The reported outcome of a write matches its effect."""

    async def test_write_with_lost_response_is_read_back(self) -> None:
        """Guards against reporting a write as failed when only its response was lost."""
        store = MemoryStore(lose_answers=1)
        assert await write_object(store, "k", {"a": 1}, 0) == Ok(1)

    async def test_lost_write_is_repeated(self) -> None:
        """Guards against reporting a write as accepted that never took effect."""
        store = MemoryStore(lose_writes=2)
        assert await write_object(store, "k", {"a": 1}, 0) == Ok(1)
        assert store.objects["k"].value == {"a": 1}

    async def test_concurrent_write_after_lost_write_is_a_conflict(self) -> None:
        """Guards against mistaking another operator's value for the lost write."""
        store = MemoryStore()
        await store.put("k", {"b": 1}, 0)
        store.lose_writes = 1
        error = (await write_object(store, "k", {"a": 1}, 0)).err_value
        assert (error.status, error.current_version) == (409, 1)

    async def test_unresolved_outcome_is_unknown(self) -> None:
        """Guards against reporting that nothing was changed when that is unknown."""
        store = MemoryStore(lose_writes=9)
        error = (await write_object(store, "k", {"a": 1}, 0)).err_value
        assert (error.status, error.code) == (503, "outcome_unknown")

    async def test_deletion_with_lost_response_succeeds(self) -> None:
        """Guards against reporting a deletion as failed when only its response was lost."""
        store = MemoryStore()
        await store.put("k", {"a": 1}, 0)
        store.lose_answers = 1
        assert isinstance(await write_object(store, "k", None, 1), Ok)


class TestTokenAuthenticator:
    """Only a token with a configured digest authenticates an operator."""

    @pytest.mark.parametrize(
        "header", [None, "", "Bearer", "Basic x", "Bearer wrong", "Bearer \udcff"]
    )
    def test_unknown_token_is_rejected(self, header: str | None) -> None:
        """Guards against accepting a request without a valid token."""
        authenticator = TokenAuthenticator({"ana": "0" * 64})
        assert authenticator.authenticate(header).err_value.status == 401

    @pytest.mark.parametrize("text", ["", "ana=abc", "=" + "0" * 64, "ana"])
    def test_invalid_setting_is_rejected(self, text: str) -> None:
        """Guards against starting the program without a usable token."""
        with pytest.raises(ValueError, match="expected|names|name"):
            parse_token_digests(text)


class TestHandler:
    """Every request gets a response, and changes that break an invariant are rejected."""

    @PROPERTY
    @given(
        st.sampled_from(["GET", "PUT", "POST", "DELETE", "PATCH"]),
        st.sampled_from(
            ["", "/v1/documents/", "/v1/keys/", "/v1/audit?before=", "/v1/audit?limit="]
        ),
        PATH_SUFFIXES,
        st.binary(max_size=20) | st.sampled_from([b"[]", b'{"document":[]}', b'{"reason":"r"}']),
    )
    def test_arbitrary_request_gets_response(
        self, method: str, start: str, rest: str, body: bytes
    ) -> None:
        """Guards against input that raises an exception and ends the process."""
        store = MemoryStore()
        digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
        handler = build_handler(
            store, AuditWriter(store), {"ana": digest}, {}, lambda: 0.0, lambda: NOW_UNIX_S
        )
        headers = (("Authorization", "Bearer test"),)
        result = trio.run(handler.dispatch, Request(method, start + rest, headers, body))
        if isinstance(result, Err):
            assert all(
                field_error.path and field_error.message
                for field_error in result.err_value.field_errors
            )

    async def test_unsupported_method_is_rejected(self, nursery) -> None:
        """Guards against running an operation for a method that it does not serve."""
        server = await AdminTestServer().start(nursery)
        assert (await server.request("PATCH", "/v1/documents"))[0] == 405

    async def test_head_response_has_no_body(self, nursery) -> None:
        """Guards against a body in the response to HEAD, which would end the server's task."""
        server = await AdminTestServer().start(nursery)
        head = (await fetch(server.address, Request("HEAD", "/v1/status"), 5_000)).unwrap()
        assert (head.status, head.body) == (405, b"")
        assert (await server.request("GET", "/-/ready"))[0] == 200

    async def test_malformed_change_is_audited(self, nursery) -> None:
        """Guards against rejected changes without an audit record."""
        server = await AdminTestServer().start(nursery)
        assert (await server.request("PUT", "/v1/documents/records", {"reason": "x"}))[0] == 422
        records = await server.audit_records()
        assert [(r["who"], r["outcome"], r["subject"]) for r in records] == [
            ("ana", "refused", "/v1/documents/records")
        ]

    async def test_max_vms_below_listed_vms_is_rejected(self, nursery) -> None:
        """Guards against a limit with which two quorums need not have a VM in common."""
        server = await AdminTestServer().start(nursery)
        server.store.vm_records = tuple(VmRecord(f"vm-{n}", "", "a1", "live") for n in range(5))
        status, value = await server.submit("fleet", fleet_document())
        assert (status, value["error"]["faults"][0]["path"]) == (422, "max_vms")

    async def test_quorum_changes_by_at_most_one_vm(self, nursery) -> None:
        """Guards against an old and a new quorum that have no VM in common."""
        server = await AdminTestServer().start(nursery)
        names = ["vm-1", "vm-2", "vm-3"]
        assert (await server.submit("fleet", fleet_document() | {"quorum_vms": names}))[0] == 200
        names = ["vm-1", "vm-4", "vm-5"]
        status, value = await server.submit("fleet", fleet_document() | {"quorum_vms": names})
        assert (status, value["error"]["faults"][0]["path"]) == (422, "quorum_vms")

    async def test_schema_version_unsupported_by_a_vm_is_rejected(self, nursery) -> None:
        """Guards against storing a document that VMs of an older release cannot parse."""
        server = await AdminTestServer().start(nursery, vms=2)
        server.statuses["vm-2"]["config"] = {"schema_versions": [0]}
        status, value = await server.submit("fleet", fleet_document())
        fault = value["error"]["faults"][0]
        assert (status, fault["path"]) == (422, "schema_version")
        assert "vm-2" in fault["message"]
        assert (await server.request("GET", "/v1/documents"))[1] == {"documents": []}

    async def test_unreachable_vm_does_not_block_changes(self, nursery) -> None:
        """Guards against one unreachable VM blocking all configuration changes."""
        server = await AdminTestServer().start(nursery, vms=1)
        server.store.vm_records += (VmRecord("vm-9", "127.0.0.1:1", "a1", "live"),)
        assert (await server.submit("fleet", fleet_document()))[0] == 200

    async def test_service_without_fleet_document_is_rejected(self, nursery) -> None:
        """Guards against storing references to zones and regions that are not defined yet."""
        server = await AdminTestServer().start(nursery)
        status, value = await server.submit("records", service_document())
        assert (status, value["error"]["faults"][0]["path"]) == (422, "(fleet)")


class TestWithdrawal:
    """A withdrawal waits for a quorum of VMs to apply it."""

    async def test_withdrawal_is_in_force_once_quorum_catches_up(self, nursery) -> None:
        """Guards against responding ``pending`` when the VMs apply the withdrawal in time."""
        server = await AdminTestServer(withdrawal_wait_ms=10_000).start(nursery, vms=3)
        await server.submit("fleet", fleet_document())
        await server.submit("records", service_document())
        _, key = await server.request("POST", "/v1/keys", {"workspace": "unam", "reason": "r"})
        for status in server.statuses.values():
            status["revision"] = 1

        async def catch_up() -> None:
            while not server.store.objects[f"keys/{key['key_id']}"].value["withdrawn"]:
                await trio.sleep(0.01)
            for status in server.statuses.values():
                status["revision"] = 1_000

        nursery.start_soon(catch_up)
        path = f"/v1/keys/{key['key_id']}/withdrawal"
        _, response = await server.request("POST", path, {"reason": "r"})
        assert (response["state"], response["confirmed"], response["lacking"]) == (
            "in_force",
            3,
            [],
        )


class TestProblems:
    """The status lists problems that need an operator."""

    def test_lagging_and_unreachable_vms_are_reported(self) -> None:
        """Guards against a status without problems while VMs lag or are unreachable."""
        vms = (
            VmReport("vm-1", "", "a1", "live", "live", 9, status={"store_reachable": False}),
            VmReport("vm-2", "", "a1", "live", fault="timeout"),
            VmReport(
                "vm-3", "", "a1", "live", "live", 7, status={"config": {"faults": {"d": ["f"]}}}
            ),
        )
        text = str(fleet_problems(FleetView(FleetDocument(8, ()), vms), newest_revision=9))
        for part in ("2 VMs answer, a quorum is 5", "revision 7 of 9", "timeout", "cannot use d"):
            assert part in text
        assert "does not reach the store" in text

    def test_rolled_back_move_is_reported(self) -> None:
        """Guards against a status that does not report a rollback."""
        moves = [{"service": "s", "version": 1, "move": {"phase": "rolled_back", "reason": "slow"}}]
        assert move_problems(moves) == [{"subject": "move s", "message": "rolled back: slow"}]
