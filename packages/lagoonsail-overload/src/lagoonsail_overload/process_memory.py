"""The memory of this process: what it uses, and what its budget is."""

from __future__ import annotations

import ctypes
import os
from pathlib import Path

from lagoonsail_overload.byte_budget import ByteBudget, budget_bytes

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
"""Parameters of `mallopt`, which Python does not name."""
MAPPED_BLOCK_BYTES = 131_072
"""Size from which a block of memory is mapped for itself. The C library raises this as
it frees such blocks, and then keeps the memory of bodies that were released."""
KEPT_FREE_BYTES = 4 << 20
"""Free memory that the C library keeps at the end of its heap, to save system calls."""


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def make_byte_budget(memory_limit_bytes: float) -> ByteBudget:
    """Return the budget of this process, to be made at its start.

    Args:
        memory_limit_bytes: Memory above which the process is killed.
    """
    _return_large_blocks()
    return ByteBudget(budget_bytes(memory_limit_bytes, resident_bytes()))


def _return_large_blocks() -> None:
    """Let the C library return the memory of large blocks as they are freed."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
        mallopt(M_TRIM_THRESHOLD, KEPT_FREE_BYTES)
