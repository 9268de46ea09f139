"""Read the CPU time and memory of a process from /proc."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_time_s(process_id: int) -> float:
    """Return the user and system CPU time of all threads of a process."""
    stat = Path(f"/proc/{process_id}/stat").read_text()
    # The second field is the program name in parentheses, which can contain spaces.
    stat_fields = stat.rpartition(")")[2].split()
    return (int(stat_fields[11]) + int(stat_fields[12])) / TICKS_PER_S


def resident_bytes(process_id: int) -> int:
    """Return the resident set size of a process."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise RuntimeError(f"/proc/{process_id}/status has no VmRSS line")
