"""Data about a request and the VMs that handled it, as found in log lines."""

from attrs import field, frozen


@frozen
class Configuration:
    """Version of the configuration and when it took effect on a VM."""

    version: int
    vm: str
    time_s: float


@frozen
class VmState:
    """State of a VM, as logged, when it handled a request.

    Attributes:
        configuration: Configuration in force, or None if it is not in the log.
        store: Last event about the store with its reason, or empty if none is in the log.
        unreachable_peers: Entry VMs that did not answer this VM.
        evacuated_zones: Availability zones that received no requests.
        targets: Last event about each target of the request's attempts.
        recent: Number of the service's other recent requests by outcome and status.
        lines_dropped: Number of log lines that this VM has dropped so far.
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
    """Log line about the request.

    Attributes:
        time_s: Wall-clock time on the VM, which may jump.
        values: Other values of the line by key.
    """

    vm: str
    time_s: float
    event: str
    values: dict[str, str]
    state: VmState


@frozen
class RequestTimeline:
    """Log lines about one request, with the state of the VMs that wrote them.

    Attributes:
        newer: Configurations newer than the one applied that were already in force elsewhere.
        unread_lines: Number of lines that are not in the log format of this product.
    """

    request_id: str
    steps: tuple[RequestStep, ...]
    newer: tuple[Configuration, ...]
    unread_lines: int
