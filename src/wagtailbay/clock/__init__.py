"""System clocks; decision code receives the time as an argument instead."""

import time


def boottime_s() -> float:
    """Return the seconds since boot, including the time that the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time_s() -> float:
    """Return the wall-clock time; use it only for records and document deadlines."""
    return time.time()
