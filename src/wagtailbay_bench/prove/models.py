"""Model recorded histories and what is wrong with them."""

from collections.abc import Mapping, Sequence
from typing import Any

from attrs import define, field, frozen


@frozen
class SentRequest:
    """Record one request as its caller saw it.

    Attributes:
        trace: Unique; sent to the target in ``X-Trace``.
        key_name: Which key was sent.
        run: What the answer said: ``not_run``, ``unknown`` or empty.
        answer: The decoded answer, empty where none came whole.
        answer_bytes: The length of the answer's body.
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
    """Record that a key was withdrawn and when the store had accepted it.

    Attributes:
        in_force_unix_s: When an operator was told that it is in force, None if never.
    """

    key_name: str
    accepted_unix_s: float
    in_force_unix_s: float | None = None


@frozen
class UpdateRace:
    """Record that two operators submitted changes of one version of a document.

    Attributes:
        accepted: The versions that were accepted.
        refused: The statuses of the other answers, 0 without one.
    """

    expected_version: int
    accepted_versions: tuple[int, ...]
    rejected_statuses: tuple[int, ...]


@frozen
class StoreIsolation:
    """Record that a VM had no path to the store, neither its own nor through its peers.

    Attributes:
        quorum: Whether it may have exchanged messages with a quorum.
    """

    vm: str
    unix_s: float
    may_have_quorum: bool


@frozen
class TargetDrain:
    """Record that a target was drained and when the store had accepted it."""

    target: str
    accepted_unix_s: float


@frozen
class ObservedRevision:
    """Record which version of a document a VM said was in force."""

    vm: str
    incarnation: int
    read_unix_s: float
    revision: int


@frozen
class PlannedMove:
    """Describe the move of a history.

    Attributes:
        kind: How the new version behaves: ``good`` or how it shows that it is bad.
        new_targets: The targets that run the new version.
        routes: The number of routes of the service.
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
        """Tell whether the new version must be rolled back."""
        return self.kind != "good"


@frozen
class ObservedStep:
    """Record one state of a move as the store held it."""

    share_ppm: int
    step_unix_s: float
    phase: str
    reason: str


@define
class History:
    """Hold everything that one run recorded.

    Attributes:
        runs: What targets ran: unix_s, trace, workspace, version, target.
        limits: Rate and burst of each workspace.
        killed_vms: VMs that were killed or frozen at some time.
        cut_by_targets: Traces whose answers a target broke off, so that a VM had to as well.
        in_force: When the store had accepted a revision, and the revision.
        steps: The states of the move, each once.
        places: The service and region of each target.
        capacities: Requests/s of each service in each region.
        links: Bytes/s from one region to another.
        guilty_paths: Requests that crash every target and that their caller sends again.
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
        """Tell whether a VM had no path to the store at some moment."""
        return any(i.vm == vm and from_unix_s <= i.unix_s <= to_unix_s for i in self.isolations)

    def was_isolated_with_quorum(self, vm: str, from_unix_s: float, to_unix_s: float) -> bool:
        """Tell whether a VM had no path to the store but maybe a quorum at some moment."""
        return any(
            i.may_have_quorum and i.vm == vm and from_unix_s <= i.unix_s <= to_unix_s
            for i in self.isolations
        )


@frozen
class Violation:
    """Describe one broken property with the events that show it."""

    property_id: str
    message: str
    events: Sequence[str] = ()

    def __str__(self) -> str:
        """Return the violation as one line."""
        return f"{self.property_id}: {self.message} {'; '.join(self.events)}".rstrip()
