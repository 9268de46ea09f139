"""Notification of changes to shared state."""

from collections.abc import Callable

import trio
from attrs import define, field


@define
class ChangeSignal:
    """Notifier of waiting tasks and registered callbacks.

    Attributes:
        callbacks: Functions called at each notification; a subscriber adds and removes its own.
    """

    callbacks: list[Callable[[], None]] = field(factory=list)
    _event: trio.Event = field(factory=trio.Event)

    def notify(self) -> None:
        """Wake all waiting tasks and call the callbacks."""
        self._event.set()
        self._event = trio.Event()
        for callback in tuple(self.callbacks):
            callback()

    async def wait(self) -> None:
        """Wait for the next notification."""
        await self._event.wait()
