"""Two attempts for one request: the first response to begin is sent, the other is cancelled."""

from collections.abc import Awaitable, Callable

import trio
from attrs import define, field

from wagtailbay.gateway.models import AttemptResult
from wagtailbay.placement import Placement
from wagtailbay.transport import Headers, ResponseSink

Attempt = Callable[[Placement, ResponseSink], Awaitable[AttemptResult]]


@define(eq=False)
class Racer:
    """One attempt of a race, and the sink of its response.

    A response arrives here when it is complete or, if it is too large to buffer, with its head.

    Attributes:
        placement: Target of the attempt, None while none is selected.
        scope: Cancels the attempt.
        result: Result of the attempt, None if it has not ended by itself.
    """

    race: "AttemptRace"
    placement: Placement | None = None
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    result: AttemptResult | None = None

    @property
    def started(self) -> bool:
        """Return whether the response of this attempt has begun at the caller."""
        return self.race.winner is self and self.race.sink.started

    @property
    def was_cancelled(self) -> bool:
        """Return whether the attempt was sent and ended by the other one's response."""
        return self.placement is not None and self.result is None

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""
        return self.race.sink.is_disconnected()

    async def start(self, status: int, headers: Headers, until_close: bool = False) -> None:
        """Win the race and pass the head on; a response that comes second is not sent."""
        if not self.race.claim(self):
            await trio.sleep_forever()  # Until its scope, which the winner cancelled, ends it.
        await self.race.sink.start(status, headers, until_close)

    async def send(self, data: bytes) -> None:
        """Pass a chunk of the body on."""
        await self.race.sink.send(data)

    async def finish(self) -> None:
        """Pass the end of the body on."""
        await self.race.sink.finish()

    async def run(self, attempt: Attempt) -> None:
        """Run the attempt at the selected target."""
        try:
            self.result = await attempt(self.placement, self)
        except Exception as error:  # Raised outside the nursery, which would wrap it.
            self.race.error = error
            self.race.cancel_other(self)


@define(eq=False)
class AttemptRace:
    """A first attempt and, if it takes longer than a delay, a second one.

    Attributes:
        sink: Receives the winner's response for the caller.
        winner: The attempt whose response is sent, None before that.
        error: Exception that ended an attempt.
    """

    sink: ResponseSink
    first: Racer = field(init=False)
    second: Racer = field(init=False)
    winner: Racer | None = None
    error: Exception | None = None

    def __attrs_post_init__(self) -> None:
        """Create both attempts."""
        self.first, self.second = Racer(self), Racer(self)

    def claim(self, racer: Racer) -> bool:
        """Make an attempt the winner and cancel the other; False if the other one has won."""
        if self.winner is None and self.error is None:
            self.winner = racer
            self.cancel_other(racer)
        return self.winner is racer

    def cancel_other(self, racer: Racer) -> None:
        """Cancel the attempt that is not the given one."""
        other = self.second if racer is self.first else self.first
        other.scope.cancel()

    async def run(
        self,
        placement: Placement,
        attempt: Attempt,
        delay_s: float,
        select_second: Callable[[], Placement | None],
    ) -> AttemptResult:
        """Return the result of the winner, else of the attempt that failed last.

        Args:
            select_second: Returns the target of the second attempt, None if it must not be sent.
        """
        self.first.placement = placement
        last = self.first
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_second, attempt, delay_s, select_second)
            with self.first.scope:
                await self.first.run(attempt)
            if self.second.placement is None:
                self.second.scope.cancel()
            elif self.second.result is None:
                last = self.second
        if self.error is not None:
            raise self.error
        return (self.winner or last).result

    async def _run_second(
        self, attempt: Attempt, delay_s: float, select_second: Callable[[], Placement | None]
    ) -> None:
        with self.second.scope:
            await trio.sleep(delay_s)
            if self.second.scope.cancel_called:  # In the moment in which the delay ended.
                return
            # No checkpoint before the attempt, which releases the target however it ends.
            self.second.placement = select_second()
            if self.second.placement is not None:
                await self.second.run(attempt)
