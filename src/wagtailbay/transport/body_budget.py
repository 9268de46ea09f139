"""Limit the memory that the bodies of requests take in one process."""

import trio
from attrs import define, field


@define
class BodyBudget:
    """Bytes of request bodies that may be held at the same time.

    A body that is larger than the whole budget is admitted while no other is held.

    Attributes:
        max_bytes: Limit for all bodies together.
        held_bytes: Bytes that are reserved now.
        released: Wakes those who wait for room, in the order of their arrival.
    """

    max_bytes: float
    held_bytes: int = 0
    released: trio.lowlevel.ParkingLot = field(factory=trio.lowlevel.ParkingLot)

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a body of the given size fits now."""
        return not self.held_bytes or self.held_bytes + size_bytes <= self.max_bytes

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve bytes without waiting; return whether there was room."""
        if not self.has_room(size_bytes):
            return False
        self.held_bytes += size_bytes
        return True

    async def reserve(self, size_bytes: int, timeout_s: float) -> bool:
        """Wait for room and reserve bytes; return False after the timeout."""
        with trio.move_on_after(timeout_s):
            while not self.try_reserve(size_bytes):
                await self.released.park()
            return True
        return False

    def release(self, size_bytes: int) -> None:
        """Give bytes back."""
        self.held_bytes -= size_bytes
        self.released.unpark_all()
