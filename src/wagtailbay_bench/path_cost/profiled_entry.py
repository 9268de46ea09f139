"""Entry program with a sampling profiler, for measurements only.

SIGUSR1 starts sampling. SIGUSR2 stops it and writes the counts as JSON to the file named by
WAGTAILBAY_BENCH_PROFILE. The profiler takes one sample per millisecond of CPU time, which has a low
overhead. cProfile made requests four times slower and overstated the cost of short functions.
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

PROFILE_PATH_VARIABLE = "WAGTAILBAY_BENCH_PROFILE"
SAMPLE_INTERVAL_S = 0.001

running_counts: Counter = Counter()
stack_counts: Counter = Counter()
# Durations of garbage collector runs in milliseconds, by generation.
gc_durations_ms: dict[int, list[float]] = {0: [], 1: [], 2: []}
gc_started_s = 0.0


def format_frame(frame: FrameType) -> str:
    """Return the file, line and qualified name of the function of a frame."""
    code = frame.f_code
    folders = code.co_filename.split("/")
    return f"{'/'.join(folders[-3:])}:{code.co_firstlineno}({code.co_qualname})"


def record_sample(_: int, frame: FrameType | None) -> None:
    """Count the running function and all functions on the stack."""
    names = []
    while frame is not None:
        names.append(format_frame(frame))
        frame = frame.f_back
    running_counts[names[0]] += 1
    stack_counts.update(set(names))


def record_gc_run(phase: str, details: dict[str, int]) -> None:
    """Record the duration of a garbage collector run."""
    global gc_started_s
    if phase == "start":
        gc_started_s = time.perf_counter()
        return
    duration_ms = (time.perf_counter() - gc_started_s) * 1000
    gc_durations_ms[details["generation"]].append(duration_ms)


def start_sampling(*_: object) -> None:
    """Clear the counts and start sampling."""
    running_counts.clear()
    stack_counts.clear()
    for times_ms in gc_durations_ms.values():
        times_ms.clear()
    gc.callbacks.append(record_gc_run)
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)


def write_profile(*_: object) -> None:
    """Stop sampling and write the counts, with an atomic rename of the complete file."""
    signal.setitimer(signal.ITIMER_PROF, 0)
    path = Path(os.environ[PROFILE_PATH_VARIABLE])
    temporary_path = path.with_suffix(".part")
    garbage = {n: [len(t), sum(t), max(t, default=0.0)] for n, t in gc_durations_ms.items()}
    profile = {"on_top": running_counts, "in_stack": stack_counts, "garbage": garbage}
    temporary_path.write_text(json.dumps(profile))
    temporary_path.rename(path)


def main() -> None:
    """Install the signal handlers and run the entry program."""
    signal.signal(signal.SIGPROF, record_sample)
    signal.signal(signal.SIGUSR1, start_sampling)
    signal.signal(signal.SIGUSR2, write_profile)
    run_entry()


if __name__ == "__main__":
    main()
