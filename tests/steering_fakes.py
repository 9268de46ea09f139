"""Documents and fakes for the tests of target selection, health checks and version moves."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from attrs import define, field
from result import Err, Ok, Result

from wagtailbay.config import (
    AvailabilityZone,
    FleetDocument,
    RegionCapacity,
    Route,
    ServiceDocument,
    Target,
    VersionPlan,
)
from wagtailbay.health import TargetView
from wagtailbay.membership import Member, VmIdentity, VmState
from wagtailbay.steer import AttemptOutcome, AttemptReport, TargetQuery
from wagtailbay.store import OutcomeUnknown, StoredObject, StoreUnavailable, VersionConflict

FLEET = FleetDocument(4, tuple(AvailabilityZone(z, z[:1]) for z in ("a1", "a2", "b1", "b2")))
READ = Route("read", "/")
OK_REPORT = AttemptReport(AttemptOutcome.ANSWERED, 200, 5.0)
FAILED_REPORT = AttemptReport(AttemptOutcome.ANSWERED, 500, 5.0)
PLAN = VersionPlan("v1", "v2", 1000.0, 1600.0, 200_000)


def target(name: str, zone: str = "a1", version: str = "v1", slots: int = 4) -> Target:
    """Build a target with an address derived from its name."""
    return Target(name, f"127.0.0.1:{9000 + sum(map(ord, name))}", zone, version, slots)


def service(
    targets: Sequence[Target] = (), name: str = "records", **fields: Any
) -> ServiceDocument:
    """Build a service document with capacity in regions a and b, by default with two targets."""
    regions = (RegionCapacity("a", 100.0), RegionCapacity("b", 100.0))
    routes = fields.pop("routes", (READ,))
    targets = tuple(targets) or (target("t1"), target("t2"))
    return ServiceDocument(name, "team", routes, targets, (), regions, **fields)


def query(document: ServiceDocument, workspace: str = "unam", **fields: Any) -> TargetQuery:
    """Build the query of a first attempt."""
    values = {"version": None, "excluded": frozenset(), "attempt": 0, "deadline_s": 1e9} | fields
    return TargetQuery(document, READ, workspace, **values)


@define
class FakeTargetHealth:
    """Target health as set by a test.

    Attributes:
        views: Views by target; other targets have a default view.
    """

    views: dict[str, TargetView] = field(factory=dict)

    def view(self, service: str, target: str, now_s: float) -> TargetView:
        """Return the view set for the target, or a default view."""
        return self.views.get(target, TargetView())

    def generation(self, now_s: float) -> int:
        """Return a hash of the views, which changes with them."""
        return hash(tuple(self.views.items()))


@define
class FakeMembers:
    """Fleet whose VMs are all live.

    Attributes:
        zone_by_vm: Availability zone of each VM.
    """

    zone_by_vm: Mapping[str, str]

    def with_state(self, *states: VmState) -> Sequence[Member]:
        """Return all VMs, whichever states are requested."""
        return [
            Member(VmIdentity(vm, 1, "", "", zone), VmState.LIVE, 1)
            for vm, zone in self.zone_by_vm.items()
        ]


@define
class FakeStore:
    """In-memory store with configurable failures.

    Attributes:
        lose_answers: If set, writes take effect but their outcome is reported as unknown.
        unavailable: If set, calls fail without effect.
        before_put: Called once before the next write, to simulate a concurrent writer.
    """

    objects: dict[str, StoredObject] = field(factory=dict)
    revision: int = 0
    lose_answers: bool = False
    unavailable: bool = False
    before_put: Callable[[], None] | None = None

    async def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Return an object, or None if it does not exist."""
        return Err(StoreUnavailable("down")) if self.unavailable else Ok(self.objects.get(key))

    async def put(self, key: str, value: Any, expected_version: int | None) -> Any:
        """Write an object if its version is the expected one."""
        if self.unavailable:
            return Err(StoreUnavailable("down"))
        if self.before_put is not None:
            callback, self.before_put = self.before_put, None
            callback()
        current = self.objects[key].version if key in self.objects else 0
        if expected_version is not None and current != expected_version:
            return Err(VersionConflict(key, current))
        self.set(key, value)
        return Err(OutcomeUnknown(key, "lost")) if self.lose_answers else Ok(self.revision)

    def set(self, key: str, value: Any) -> None:
        """Write an object without a version check."""
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)

    def value(self, key: str) -> object | None:
        """Return the value of an object, as a replica lookup does."""
        return self.objects[key].value if key in self.objects else None


@define
class FakeVmContext:
    """Clocks, lease and fleet contact of one VM, as set by a test."""

    now_s: float = 0.0
    holds_lease: bool = True
    contacted_at_s: float | None = 0.0

    def clock(self) -> float:
        """Return the monotonic time."""
        return self.now_s

    def unix_clock(self) -> float:
        """Return the wall-clock time, 1000 s ahead of the monotonic time."""
        return self.now_s + 1000.0

    def is_holder(self, now_s: float) -> bool:
        """Return whether the lease is held."""
        return self.holds_lease

    def last_contact_s(self) -> float | None:
        """Return the time of the last contact, or None if there was none."""
        return self.contacted_at_s
