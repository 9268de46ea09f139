"""Run an entry VM under the profiler; for measurements only.

SIGUSR1 starts it anew, SIGUSR2 writes what it saw to the file that WAGTAILBAY_BENCH_PROFILE
names. It counts the main thread, in which every request runs.
"""

import cProfile
import os
import signal

from wagtailbay.programs.entry import main as run_entry

FILE_VARIABLE = "WAGTAILBAY_BENCH_PROFILE"


def main() -> None:
    """Run the program."""
    path = os.environ[FILE_VARIABLE]
    profile = cProfile.Profile()

    def start(*_: object) -> None:
        profile.clear()
        profile.enable()

    def write(*_: object) -> None:
        profile.disable()
        profile.dump_stats(path)

    signal.signal(signal.SIGUSR1, start)
    signal.signal(signal.SIGUSR2, write)
    run_entry()


if __name__ == "__main__":
    main()
