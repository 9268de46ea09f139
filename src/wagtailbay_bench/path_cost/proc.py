"""Read the cost of a process from /proc."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_time_s(process_id: int) -> float:
    """Return user and system time of all threads of a process."""
    stat = Path(f"/proc/{process_id}/stat").read_text()
    # The second field, the program's name in parentheses, may hold spaces.
    stat_fields = stat.rpartition(")")[2].split()
    return (int(stat_fields[11]) + int(stat_fields[12])) / TICKS_PER_S


def resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise RuntimeError(f"process {process_id} has no resident memory")
