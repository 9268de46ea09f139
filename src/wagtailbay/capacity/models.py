"""Capacity of one VM, as its settings state it."""

from attrs import frozen


@frozen
class VmCapacity:
    """Processor and link of a VM.

    Attributes:
        cpu_cores: Processor time per second, in cores of usual speed; 0 if it is not stated.
        link_mbps: Bandwidth of the VM's own link; 0 if it is not stated.
    """

    cpu_cores: float = 0.0
    link_mbps: float = 0.0

    @property
    def is_stated(self) -> bool:
        """Return whether both figures are known."""
        return self.cpu_cores > 0 and self.link_mbps > 0
