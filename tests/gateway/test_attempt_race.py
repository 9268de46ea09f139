"""Tests of two racing attempts, without a network."""

from collections.abc import Callable

import pytest
import trio
from attrs import define, field

from wagtailbay.gateway.models import AttemptResult, ResponseDelivered
from wagtailbay.gateway.race import AttemptRace
from wagtailbay.placement import TargetOutcome
from wagtailbay.transport import CallerDisconnectedError

FAILED = AttemptResult(TargetOutcome.BROKEN, None, may_have_run=True)
OTHER_FAILED = AttemptResult(TargetOutcome.TIMED_OUT, None, may_have_run=True)
DELIVERED = AttemptResult(TargetOutcome.ANSWERED, ResponseDelivered(200), may_have_run=True)


@define
class RecordingSink:
    """Sink that records what reaches the caller; it may take time or find the caller gone."""

    start_s: float = 0.0
    disconnected: bool = False
    started: bool = False
    received: list[bytes] = field(factory=list)

    def is_disconnected(self) -> bool:
        """Return whether the caller has disconnected."""
        return self.disconnected

    async def start(self, status, headers, until_close=False) -> None:
        """Accept the head."""
        self.started = True
        await trio.sleep(self.start_s)
        if self.disconnected:
            raise CallerDisconnectedError

    async def send(self, data: bytes) -> None:
        """Accept a chunk."""
        self.received.append(data)

    async def finish(self) -> None:
        """Accept the end."""


@define
class RaceRun:
    """Runs a race; each attempt takes some time and then fails or sends its name.

    Attributes:
        attempts: Time and result of the attempt at each target.
        ended: Targets whose attempts have ended, in order.
    """

    attempts: dict[str, tuple[float, AttemptResult]]
    sink: RecordingSink = field(factory=RecordingSink)
    select_second: Callable[[], str | None] = lambda: "second"
    ended: list[str] = field(factory=list)
    race: AttemptRace = field(init=False)

    async def _attempt(self, name: str, sink) -> AttemptResult:
        duration_s, result = self.attempts[name]
        try:
            await trio.sleep(duration_s)
            if result.delivery is not None:
                await sink.start(200, ())
                await sink.send(name.encode())
                await sink.finish()
            return result
        finally:
            self.ended.append(name)

    async def run(self) -> AttemptResult:
        """Run the race with a delay of 1 s."""
        self.race = AttemptRace(self.sink)
        return await self.race.run("first", self._attempt, 1.0, self.select_second)


class TestAttemptRace:
    """The first response to begin is sent; the other attempt is cancelled."""

    async def test_second_wins(self, autojump_clock):
        """Guards against a caller that waits for the slow target."""
        run = RaceRun({"first": (60, DELIVERED), "second": (1, DELIVERED)})
        assert await run.run() is DELIVERED
        assert trio.current_time() == pytest.approx(2.0)
        assert run.sink.received == [b"second"]
        assert run.race.first.was_cancelled
        assert sorted(run.ended) == ["first", "second"]

    async def test_first_wins(self, autojump_clock):
        """Guards against a second target that works on for nobody."""
        run = RaceRun({"first": (2, DELIVERED), "second": (60, DELIVERED)})
        assert await run.run() is DELIVERED
        assert run.sink.received == [b"first"]
        assert run.race.second.was_cancelled

    @pytest.mark.parametrize("result", [DELIVERED, FAILED])
    async def test_first_ends_before_the_delay(self, autojump_clock, result):
        """Guards against a second attempt beside an answer or a retry."""
        run = RaceRun({"first": (0.5, result), "second": (0, DELIVERED)})
        assert await run.run() is result
        assert trio.current_time() == pytest.approx(0.5)
        assert run.ended == ["first"]
        assert run.race.second.placement is None

    @pytest.mark.parametrize("trial", range(20))
    async def test_first_answers_as_the_delay_ends(self, autojump_clock, trial):
        """Guards against a selected target that no attempt releases, in any order of tasks."""
        run = RaceRun({"first": (1.0, DELIVERED), "second": (60, DELIVERED)})
        assert await run.run() is DELIVERED
        assert run.sink.received == [b"first"]
        was_sent = run.race.second.placement is not None
        assert sorted(run.ended) == ["first", "second"][: 1 + was_sent]

    async def test_both_answer_at_once(self, autojump_clock):
        """Guards against two responses on the caller's connection while the first one is sent."""
        run = RaceRun({"first": (2, DELIVERED), "second": (1, DELIVERED)}, RecordingSink(5))
        await run.run()
        assert len(run.sink.received) == 1
        assert sorted(run.ended) == ["first", "second"]

    @pytest.mark.parametrize(("first_s", "last"), [(2, OTHER_FAILED), (9, FAILED)])
    async def test_both_fail(self, autojump_clock, first_s, last):
        """Guards against the end of the request by the failure of one attempt."""
        run = RaceRun({"first": (first_s, FAILED), "second": (3, OTHER_FAILED)})
        assert await run.run() is last
        assert trio.current_time() == pytest.approx(max(first_s, 4))
        assert not run.race.first.was_cancelled
        assert not run.race.second.was_cancelled

    async def test_one_failure_leaves_the_other(self, autojump_clock):
        """Guards against the loss of the first attempt when the second fails at once."""
        run = RaceRun({"first": (9, DELIVERED), "second": (0, FAILED)})
        assert await run.run() is DELIVERED

    async def test_denied_second_attempt(self, autojump_clock):
        """Guards against effects of a denial on the first attempt."""
        run = RaceRun({"first": (9, DELIVERED)}, select_second=lambda: None)
        assert await run.run() is DELIVERED

    async def test_caller_that_left(self, autojump_clock):
        """Guards against an exception that the server doesn't know, being wrapped in a group."""
        run = RaceRun({"first": (60, DELIVERED), "second": (1, DELIVERED)})
        run.sink.disconnected = True
        with pytest.raises(CallerDisconnectedError):
            await run.run()
        assert sorted(run.ended) == ["first", "second"]

    async def test_cancelled_request(self, autojump_clock):
        """Guards against attempts that go on after the caller's connection has ended."""
        run = RaceRun({"first": (60, DELIVERED), "second": (60, DELIVERED)})
        with trio.move_on_after(2):
            await run.run()
        assert sorted(run.ended) == ["first", "second"]
