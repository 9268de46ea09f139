"""Model what the log lines tell of a request and of the VM that decided on it."""

from attrs import field, frozen


@frozen
class Configuration:
    """Hold when a version of the configuration took effect on a VM."""

    version: int
    vm: str
    time_s: float


@frozen
class VmState:
    """Hold what a VM believed when it decided on a request.

    Attributes:
        configuration: The one in force, None if the log does not show it.
        store: The last event about the store with its reason, empty if none is logged.
        unreachable_peers: VMs that did not answer it.
        evacuated_zones: Availability zones that got nothing.
        targets: The last event about each target that was tried.
        recent: How the service's other requests ended just before, by outcome and status.
        lines_dropped: Lines of this VM that are missing in its log so far.
    """

    configuration: Configuration | None = None
    store: str = ""
    unreachable_peers: tuple[str, ...] = ()
    evacuated_zones: str = ""
    targets: dict[str, str] = field(factory=dict)
    recent: dict[str, int] = field(factory=dict)
    lines_dropped: int = 0


@frozen
class RequestStep:
    """Hold one line about the request.

    Attributes:
        time_s: Time of day on the VM, which may jump.
        values: The line's other values by key.
    """

    vm: str
    time_s: float
    event: str
    values: dict[str, str]
    state: VmState


@frozen
class RequestTimeline:
    """Hold all that the lines tell of one request.

    Attributes:
        newer: Configurations newer than the one that decided and in force elsewhere by then.
        unread_lines: Lines that are not in the format of this product's logs.
    """

    request_id: str
    steps: tuple[RequestStep, ...]
    newer: tuple[Configuration, ...]
    unread_lines: int
