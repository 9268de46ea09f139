"""Observation of a move through its state in the store."""

import time

import trio

from wagtailbay_bench.controls import Controls
from wagtailbay_bench.prove.const import MOVE_READ_INTERVAL_S
from wagtailbay_bench.prove.models import History, ObservedStep


async def record_move_steps(controls: Controls, history: History, until_s: float) -> None:
    """Poll the move's state and record each distinct one.

    Steps are at least 5 s apart, so polling misses none.
    """
    key = f"moves/{history.move.service}"
    while time.monotonic() < until_s:
        stored = (await controls.store.get(key)).unwrap_or(None)
        if stored is not None and stored.value is not None:
            step = _parse_step(stored.value)
            if step is not None and step not in history.observed_steps:
                history.observed_steps.append(step)
        await trio.sleep(MOVE_READ_INTERVAL_S)


def _parse_step(value: dict) -> ObservedStep | None:
    """Return the step that a stored state represents, or None before the first step."""
    phase, step = value["phase"], value["step"]
    if phase != "rolled_back" and step < 0:
        return None
    share_ppm = 0 if phase == "rolled_back" else value["plan"]["steps"][step]["share_ppm"]
    return ObservedStep(share_ppm, value["step_unix_s"], phase, value["reason"])
