"""Data classes for the VMs of the fleet."""

from enum import Enum

from attrs import frozen

from wagtailbay.capacity import VmCapacity


class VmState(Enum):
    """States of an entry process, in the order of its life cycle."""

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"
    LEFT = "left"


@frozen
class VmIdentity:
    """Identity of one run of an entry process.

    Attributes:
        vm: The VM's name from the settings.
        incarnation: Identifies the run; grows with each start of the process on this VM, in Unix
            milliseconds.
        address: Address for callers.
        peer_address: Address for the other VMs.
        capacity: Processor and link of the VM, as far as they are stated.
    """

    vm: str
    incarnation: int
    address: str
    peer_address: str
    availability_zone: str
    capacity: VmCapacity = VmCapacity()


@frozen
class Member:
    """The known state of one VM.

    Attributes:
        sequence: Grows with each state change that the VM announces.
        direct_contact_s: Time of the last contact between the VM and this one; None if there was
            none.
        contact_s: Time of the VM's last contact with any VM, as far as this VM knows.
    """

    identity: VmIdentity
    state: VmState
    sequence: int
    direct_contact_s: float | None = None
    contact_s: float | None = None
