"""Coroutines that a test runs step by step, without an event loop."""

from collections.abc import Coroutine, Generator
from typing import Any

from attrs import define


class _Suspension:
    def __await__(self) -> Generator[None, None, None]:
        yield


async def suspend() -> None:
    """Suspend until the test resumes the coroutine."""
    await _Suspension()


@define(eq=False)
class ManualTask:
    """Represents a suspended coroutine of a VM."""

    owner: Any
    coroutine: Coroutine[Any, Any, None]

    def resume(self) -> bool:
        """Run until the next suspension; return False if the coroutine has finished."""
        try:
            self.coroutine.send(None)
        except StopIteration:
            return False
        return True
