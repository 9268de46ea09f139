"""Disturbances of a soak from outside the programs: signals and faults of links."""

import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence
from random import Random

import trio
from attrs import define, field

from wagtailbay_bench.soak.models import History
from wagtailbay_bench.soak.vms import SoakVm
from wagtailbay_standins.link import Link

UNPLANNED = ("stop", "kill", "pause", "reload", "cut_link", "freeze_link", "delay_link")
PLANNED = ("stop", "stop", "reload")


@define
class Disturber:
    """Draws overlapping disturbances from a seed.

    Attributes:
        links: Links between callers, VMs and targets.
        happenings: What else can happen, by name.
        only: What is drawn, by name; empty for everything that is not optional.
        optional: What is drawn only if it is named.
    """

    vms: Sequence[SoakVm]
    links: Sequence[Link]
    history: History
    random: Random
    happenings: Mapping[str, Callable[[], Awaitable[None]]] = field(factory=dict)
    only: tuple[str, ...] = ()
    optional: tuple[str, ...] = ()

    async def run(self, until_s: float) -> None:
        """Start disturbances until the given time, and return when all have ended."""
        signals = PLANNED if self.history.planned_only else UNPLANNED
        usual = (name for name in self.happenings if name not in self.optional)
        kinds = self.only or (*signals, *usual)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until_s:
                kind = self.random.choice(kinds)
                vm = self.random.choice(self.vms)
                self.history.faults.append(f"{trio.current_time():.1f} {kind} {vm.name}")
                nursery.start_soon(self._disturb, kind, vm)
                pause_s = self.random.choice((0.1, 0.5, 1.0, 2.0)) * 10 / max(10, len(self.vms))
                await trio.sleep(pause_s)

    async def _disturb(self, kind: str, vm: SoakVm) -> None:
        duration_s = self.random.choice((0.1, 0.5, 1.5))
        link = self.random.choice(self.links)
        if kind in self.happenings:
            await self.happenings[kind]()
        elif kind == "stop":
            await vm.stop_and_restart(self._draw_extra_signals())
        elif kind == "kill":
            await vm.kill_and_restart()
        elif kind == "reload":
            vm.send_signal(signal.SIGHUP)
        elif kind == "pause":
            vm.send_signal(signal.SIGSTOP)
            await trio.sleep(duration_s)
            vm.send_signal(signal.SIGCONT)
        elif kind == "cut_link":
            await hold_fault(link, duration_s, cut=True)
        elif kind == "freeze_link":
            await hold_fault(link, duration_s, frozen=True)
        else:
            await hold_fault(link, duration_s, delay_ms=self.random.choice((5, 80, 400)))

    def _draw_extra_signals(self) -> list[tuple[float, signal.Signals]]:
        """Return signals that follow a SIGTERM, by their time after it."""
        numbers = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
        times_s = sorted(self.random.uniform(0.05, 4.0) for _ in range(self.random.randrange(3)))
        return [(after_s, self.random.choice(numbers)) for after_s in times_s]


async def hold_fault(link: Link, duration_s: float, **fault: float | bool) -> None:
    """Apply a fault to a link for a while."""
    await link.update(**fault)
    await trio.sleep(duration_s)
    await link.update(**{name: type(value)(0) for name, value in fault.items()})
