"""Model the VMs of the fleet."""

from enum import Enum

from attrs import frozen


class VmState(Enum):
    """Name the states of an entry process, in the order in which it passes through them."""

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"
    LEFT = "left"


@frozen
class VmIdentity:
    """Identify one run of an entry process.

    Attributes:
        vm: The VM's name from the settings.
        incarnation: Grows with each start of the process on this VM, in Unix milliseconds.
        address: Where callers connect.
        peer_address: Where other VMs connect.
    """

    vm: str
    incarnation: int
    address: str
    peer_address: str
    availability_zone: str


@frozen
class Member:
    """Hold what is known of one VM.

    Attributes:
        sequence: Grows with each change that the VM announces of itself.
        direct_contact_s: When a message last came directly from it, None if never.
        contact_s: When any VM last heard from it, as far as this VM was told.
    """

    identity: VmIdentity
    state: VmState
    sequence: int
    direct_contact_s: float | None = None
    contact_s: float | None = None
