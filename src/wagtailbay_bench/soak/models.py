"""What callers sent, targets ran and processes did during a soak."""

from attrs import define, field, frozen


@frozen
class Run:
    """A request that a target began to work on."""

    request_id: str
    target: str
    started_s: float
    arrived_s: float = 0.0


@frozen
class ReturnedRequest:
    """A request that came back to a target that has written its refusal more than once.

    Attributes:
        same_connection: Whether it came on the connection that carried its refusals.
    """

    request_id: str
    target: str
    same_connection: bool


@define
class Exchange:
    """A caller's request and its response.

    Attributes:
        status: Status of the complete response, None if the connection ended without one.
        sent_s: When its last byte was sent.
        seal: Seal of the target's response, empty if there is none.
    """

    request_id: str
    idempotent: bool
    vm: str
    sent_s: float
    ended_s: float = 0.0
    status: int | None = None
    seal: str = ""
    body: bytes = b""
    key: str = ""


@frozen
class Signal:
    """Something done to a VM's process: a signal, or its exit."""

    vm: str
    name: str
    at_s: float


@frozen
class Drill:
    """Return of the store from an older copy.

    Attributes:
        returned_s: When the store came back.
        lost_objects: Objects that the copy has in another state, or lacks, or has in excess.
        lost_own_objects: Those of them that VMs had written.
        reissued_revisions: Revisions after the copy, which are given out again.
    """

    returned_s: float
    lost_objects: int
    lost_own_objects: int
    reissued_revisions: int


@frozen
class FollowedChange:
    """A change of the store that all VMs must follow.

    Attributes:
        kind: ``key`` for a withdrawn key, ``target`` for a removed target.
        name: The key, or the name of the target.
        acknowledged_s: When the store accepted it.
        until_s: When it was taken back.
    """

    kind: str
    name: str
    acknowledged_s: float
    until_s: float


@frozen
class Violation:
    """A promise that was broken, and how it shows."""

    rule: str
    description: str

    def __str__(self) -> str:
        """Format the rule and its description."""
        return f"{self.rule}: {self.description}"


@define
class History:
    """Everything recorded during one soak; times are on trio's clock.

    Attributes:
        planned_only: Whether VMs were only stopped as planned, and targets and links were sound.
        changes: Changes after drills of a soak in which nothing else happens.
        store_calls: Time of each call of the store that counts for its rates, and whether it
            writes.
        peak_resident_mb: Highest memory of each VM's process.
    """

    planned_only: bool = False
    exchanges: list[Exchange] = field(factory=list)
    runs: list[Run] = field(factory=list)
    returned: list[ReturnedRequest] = field(factory=list)
    signals: list[Signal] = field(factory=list)
    faults: list[str] = field(factory=list)
    drills: list[Drill] = field(factory=list)
    changes: list[FollowedChange] = field(factory=list)
    store_calls: list[tuple[float, bool]] = field(factory=list)
    peak_resident_mb: dict[str, float] = field(factory=dict)


@frozen
class SoakSize:
    """Number of processes and callers, and how long they run.

    Attributes:
        is_site: Whether the soak has four services, whose targets come and go.
        disturbances: What may happen, by name; empty for everything.
        target_delay_s: Time that bytes take between a target and any VM, in each direction.
        conforming: Whether each copy of a refusal is whole and names its request.
    """

    vms: int = 3
    targets: int = 6
    callers: int = 24
    duration_s: float = 20.0
    is_site: bool = False
    disturbances: tuple[str, ...] = ()
    target_delay_s: float = 0.0
    conforming: bool = False
