"""Run an entry VM that samples its own stack; for measurements only.

SIGUSR1 starts the sampling, SIGUSR2 ends it and writes the counts as JSON to the file that
WAGTAILBAY_BENCH_PROFILE names. A sample is taken for each millisecond of processor time, which
costs little; cProfile made requests four times slower and short functions look dear.
"""

import gc
import json
import os
import signal
import time
from collections import Counter
from pathlib import Path
from types import FrameType

from wagtailbay.programs.entry import main as run_entry

FILE_VARIABLE = "WAGTAILBAY_BENCH_PROFILE"
SAMPLE_S = 0.001

on_top: Counter = Counter()
in_stack: Counter = Counter()
# Milliseconds that the garbage collector took, by generation.
collections_ms: dict[int, list[float]] = {0: [], 1: [], 2: []}
collection_started_s = 0.0


def name_of(frame: FrameType) -> str:
    """Return the place of a function."""
    code = frame.f_code
    folders = code.co_filename.split("/")
    return f"{'/'.join(folders[-3:])}:{code.co_firstlineno}({code.co_qualname})"


def sample(_: int, frame: FrameType | None) -> None:
    """Count the function that runs and every function that called it."""
    names = []
    while frame is not None:
        names.append(name_of(frame))
        frame = frame.f_back
    on_top[names[0]] += 1
    in_stack.update(set(names))


def time_collection(phase: str, details: dict[str, int]) -> None:
    """Note how long a run of the garbage collector takes."""
    global collection_started_s
    if phase == "start":
        collection_started_s = time.perf_counter()
        return
    took_ms = (time.perf_counter() - collection_started_s) * 1000
    collections_ms[details["generation"]].append(took_ms)


def start(*_: object) -> None:
    """Start the sampling."""
    on_top.clear()
    in_stack.clear()
    for times_ms in collections_ms.values():
        times_ms.clear()
    gc.callbacks.append(time_collection)
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_S, SAMPLE_S)


def write(*_: object) -> None:
    """End the sampling and write the counts."""
    signal.setitimer(signal.ITIMER_PROF, 0)
    path = Path(os.environ[FILE_VARIABLE])
    part = path.with_suffix(".part")
    garbage = {n: [len(t), sum(t), max(t, default=0.0)] for n, t in collections_ms.items()}
    profile = {"on_top": on_top, "in_stack": in_stack, "garbage": garbage}
    part.write_text(json.dumps(profile))
    part.rename(path)


def main() -> None:
    """Run the program."""
    signal.signal(signal.SIGPROF, sample)
    signal.signal(signal.SIGUSR1, start)
    signal.signal(signal.SIGUSR2, write)
    run_entry()


if __name__ == "__main__":
    main()
