"""Tests for the authorization of requests by API key."""

from membership.factories import exchanger, member
from result import Ok

from wagtailbay.access import Authorizer, KeyRing, hash_key
from wagtailbay.config import Route, ServiceDocument, WorkspaceLimit
from wagtailbay.membership import Exchanger
from wagtailbay.store import StoredObject

SERVICE = ServiceDocument("records", "t", (), (), (WorkspaceLimit("unam", 1, 1),), ())
PROTECTED_ROUTE, OPEN_ROUTE = Route("read", "/"), Route("open", "/open", open=True)


class TestAuthorizer:
    """Keys are accepted only while the VM knows every withdrawal in force."""

    @staticmethod
    def authorize_status(vm: Exchanger, now_s: float, route: Route = PROTECTED_ROUTE) -> object:
        """Return the workspace, or the status of the refusal."""
        ring = KeyRing(lambda: vm.replica.objects)
        authorizer = Authorizer(ring, vm.freshness.age_ms, vm.quorum.has_quorum)
        checked = authorizer.authorize(SERVICE, route, "Bearer k", now_s)
        return checked.ok_value if isinstance(checked, Ok) else checked.err_value.status

    @staticmethod
    def make_vm() -> Exchanger:
        """Return one of three VMs, with a replica confirmed at 0 s."""
        vm = exchanger("a", max_vms=3)
        key = StoredObject(f"keys/{hash_key('k')}", 1, {"workspace": "unam"})
        vm.replica.apply([key], 1)
        vm.freshness.confirm(0.0)
        return vm

    def test_confirmed_replica_is_valid_for_5_s(self) -> None:
        """Guards against a partitioned VM that accepts withdrawn keys from a stale replica.

        The VM must stop accepting keys 5 s after its replica was last confirmed.
        """
        assert self.authorize_status(self.make_vm(), 4.9) == "unam"
        assert self.authorize_status(self.make_vm(), 5.1) == 503
        assert self.authorize_status(self.make_vm(), 5.1, OPEN_ROUTE) is None

    def test_quorum_contact_is_sufficient_during_store_outage(self) -> None:
        """Guards against a VM that rejects valid keys because the store is down.

        A VM in contact with a quorum accepts keys during a store outage.
        """
        vm = self.make_vm()
        vm.roster.record_message(member("b"), 60.0)
        vm.quorum.record_answer("b", 1, 60.0)
        assert self.authorize_status(vm, 61.0) == "unam"
        assert self.authorize_status(vm, 63.5) == 503

    def test_malformed_key_object_is_rejected(self) -> None:
        """Guards against a malformed key object that raises an exception or grants access."""
        vm = self.make_vm()
        for version, value in enumerate(({}, [], "unam", {"workspace": 3}), start=2):
            vm.replica.apply([StoredObject(f"keys/{hash_key('k')}", version, value)], version)
            assert self.authorize_status(vm, 1.0) == 401
