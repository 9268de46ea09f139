"""Wake tasks when shared state changes."""

import trio
from attrs import define, field


@define
class ChangeSignal:
    """Wake every waiting task at each notification."""

    _event: trio.Event = field(factory=trio.Event)

    def notify(self) -> None:
        """Wake the tasks that wait now."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next notification."""
        await self._event.wait()
