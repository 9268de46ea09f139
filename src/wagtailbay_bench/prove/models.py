"""Recorded histories and property violations."""

from collections.abc import Mapping, Sequence
from typing import Any

from attrs import define, field, frozen


@frozen
class SentRequest:
    """Request and its result as the caller observed them.

    Attributes:
        trace: A unique identifier, sent to the target in ``X-Trace``.
        key_name: The name of the API key that was sent.
        run_state: What an error response reported: ``not_run``, ``unknown`` or empty.
        response_body: The decoded body, empty unless a complete JSON success arrived.
        response_bytes: The length of the response's body.
    """

    trace: str
    vm: str
    path: str
    workspace: str
    key_name: str
    idempotency_key: str
    sent_unix_s: float
    ended_unix_s: float
    status: int
    code: str
    run_state: str
    response_body: Mapping[str, Any]
    service: str = "records"
    response_bytes: int = 0


@frozen
class Withdrawal:
    """Withdrawal of an API key and the time by which the store had accepted it.

    Attributes:
        in_force_unix_s: When the administration API reported it in force, None if it never did.
    """

    key_name: str
    accepted_unix_s: float
    in_force_unix_s: float | None = None


@frozen
class UpdateRace:
    """Concurrent updates of one document version by several operators.

    Attributes:
        accepted_versions: The versions created by accepted updates.
        rejected_statuses: The statuses of the other responses, 0 where none arrived.
    """

    expected_version: int
    accepted_versions: tuple[int, ...]
    rejected_statuses: tuple[int, ...]


@frozen
class StoreIsolation:
    """Sample in which a VM had no path to the store, neither direct nor through peers.

    Attributes:
        may_have_quorum: Whether the VM may have exchanged messages with a quorum.
    """

    vm: str
    unix_s: float
    may_have_quorum: bool


@frozen
class TargetDrain:
    """Drain of a target and the time by which the store had accepted it."""

    target: str
    accepted_unix_s: float


@frozen
class ObservedRevision:
    """Configuration revision that a VM reported as in force."""

    vm: str
    incarnation: int
    read_unix_s: float
    revision: int


@frozen
class PlannedMove:
    """Gradual move of a service to a new version, as planned for a history.

    Attributes:
        kind: How the new version behaves: ``good``, or the way in which it is bad.
        new_targets: The targets that run the new version.
        route_count: The number of routes of the service.
    """

    service: str
    kind: str
    new_targets: frozenset[str]
    deadline_unix_s: float
    max_step_ppm: int
    cap_per_s: float | None
    route_count: int

    @property
    def is_bad(self) -> bool:
        """Whether the new version must be rolled back."""
        return self.kind != "good"


@frozen
class ObservedStep:
    """State of a move as read from the store."""

    share_ppm: int
    step_unix_s: float
    phase: str
    reason: str


@define
class History:
    """Events recorded while a deployment ran under faults, and the facts the checks need.

    Attributes:
        runs: Executions at targets, each with unix_s, trace, workspace, version and target.
        faults: The start time and the name of each injected fault.
        workspace_limits: The rate and the burst of each workspace.
        disrupted_vms: VMs that were killed or frozen at some time.
        traces_cut_by_targets: Traces whose responses a target truncated, so that the VM had to
            truncate them as well.
        accepted_revisions: The time by which the store had accepted a revision, and the revision.
        observed_steps: The distinct states of the move.
        target_locations: The service and the region of each target.
        region_capacities_per_s: Requests/s of each service in each region.
        link_bytes_per_s: Bytes/s from one region to another.
        crashing_paths: Paths that crash every target and that a caller keeps requesting.
        isolations: Samples of VMs without a path to the store.
    """

    seed: int
    duration_s: float = 0.0
    requests: list[SentRequest] = field(factory=list)
    runs: list[Mapping[str, Any]] = field(factory=list)
    seen_headers: set[str] = field(factory=set)
    withdrawals: list[Withdrawal] = field(factory=list)
    target_drains: list[TargetDrain] = field(factory=list)
    observed_revisions: list[ObservedRevision] = field(factory=list)
    faults: list[str] = field(factory=list)
    workspace_limits: Mapping[str, tuple[float, float]] = field(factory=dict)
    disrupted_vms: set[str] = field(factory=set)
    traces_cut_by_targets: set[str] = field(factory=set)
    accepted_revisions: list[tuple[float, int]] = field(factory=list)
    move: PlannedMove | None = None
    observed_steps: list[ObservedStep] = field(factory=list)
    target_locations: Mapping[str, tuple[str, str]] = field(factory=dict)
    region_capacities_per_s: Mapping[tuple[str, str], float] = field(factory=dict)
    link_bytes_per_s: Mapping[tuple[str, str], float] = field(factory=dict)
    vm_regions: Mapping[str, str] = field(factory=dict)
    max_vms: int = 1
    crashing_paths: set[str] = field(factory=set)
    ended_unix_s: float = 0.0
    update_races: list[UpdateRace] = field(factory=list)
    isolations: list[StoreIsolation] = field(factory=list)

    def was_isolated(self, vm: str, from_unix_s: float, to_unix_s: float) -> bool:
        """Return whether a sample in the period shows a VM without a path to the store."""
        return any(i.vm == vm and from_unix_s <= i.unix_s <= to_unix_s for i in self.isolations)

    def was_isolated_with_quorum(self, vm: str, from_unix_s: float, to_unix_s: float) -> bool:
        """Return whether such a sample also shows that the VM may have had a quorum."""
        return any(
            i.may_have_quorum and i.vm == vm and from_unix_s <= i.unix_s <= to_unix_s
            for i in self.isolations
        )


@frozen
class Violation:
    """Violation of a property, with the recorded events that show it."""

    property_id: str
    message: str
    events: Sequence[str] = ()

    def __str__(self) -> str:
        """Return the violation as a line of the report."""
        return f"{self.property_id}: {self.message} {'; '.join(self.events)}".rstrip()
