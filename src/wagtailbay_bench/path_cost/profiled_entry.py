"""Run an entry VM that samples its own stack; for measurements only.

SIGUSR1 starts the sampling, SIGUSR2 ends it and writes the counts as JSON to the file that
WAGTAILBAY_BENCH_PROFILE names. A sample is taken for each millisecond of processor time, which
costs little; cProfile made requests four times slower and short functions look dear.
"""

import json
import os
import signal
from collections import Counter
from pathlib import Path
from types import FrameType

from wagtailbay.programs.entry import main as run_entry

FILE_VARIABLE = "WAGTAILBAY_BENCH_PROFILE"
SAMPLE_S = 0.001

on_top: Counter = Counter()
in_stack: Counter = Counter()


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


def start(*_: object) -> None:
    """Start the sampling."""
    on_top.clear()
    in_stack.clear()
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_S, SAMPLE_S)


def write(*_: object) -> None:
    """End the sampling and write the counts."""
    signal.setitimer(signal.ITIMER_PROF, 0)
    path = Path(os.environ[FILE_VARIABLE])
    part = path.with_suffix(".part")
    part.write_text(json.dumps({"on_top": on_top, "in_stack": in_stack}))
    part.rename(path)


def main() -> None:
    """Run the program."""
    signal.signal(signal.SIGPROF, sample)
    signal.signal(signal.SIGUSR1, start)
    signal.signal(signal.SIGUSR2, write)
    run_entry()


if __name__ == "__main__":
    main()
