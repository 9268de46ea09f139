"""Wake tasks when shared state changes."""

from collections.abc import Callable

import trio
from attrs import define, field


@define
class ChangeSignal:
    """Wake every waiting task at each notification.

    Attributes:
        followers: Called at each notification, until they are removed.
    """

    callbacks: list[Callable[[], None]] = field(factory=list)
    _event: trio.Event = field(factory=trio.Event)

    def notify(self) -> None:
        """Wake the tasks that wait now."""
        self._event.set()
        self._event = trio.Event()
        for callback in tuple(self.callbacks):
            callback()

    async def wait(self) -> None:
        """Wait for the next notification."""
        await self._event.wait()
