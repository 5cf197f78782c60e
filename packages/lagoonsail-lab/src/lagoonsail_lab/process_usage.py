"""What other processes use: processor time, memory and file descriptors."""

from __future__ import annotations

import os
import re
from pathlib import Path


def processor_s(pid: int) -> float:
    """Return the processor time used by a process, seconds."""
    fields_after_name = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields_after_name[11]) + int(fields_after_name[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident memory of a process, 0 after its end."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    match = re.search(r"VmHWM:\s+(\d+) kB", status)
    return 1024 * int(match[1]) if match else 0


def count_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open, 0 after its end."""
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0
