"""Crowds of callers whose requests may make a router run out of memory.

Each caller sends one request with a hostile body and then stays silent on its open
connection. The crowds are fixed, so that figures of different versions compare.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_lab.process_usage import (
    count_descriptors,
    peak_memory_bytes,
    processor_s,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_BODY_BYTES = 4_194_304
"""Longest body that the router under test accepts."""
CALLERS = 60
"""Number of callers of a crowd."""
OVERSIZED_BYTES = 4 * MAX_BODY_BYTES
"""Length of a body far over the limit."""
ENDLESS_LINE_BYTES = MAX_BODY_BYTES
"""Bytes of a line without end that one caller sends."""
SMALL_CHUNKS_BODY_BYTES = 65_000
"""Length of a body in very small chunks. Longer ones need much processor time, and the
fault shows with this length already."""
LARGE_CHUNK_BYTES = 65_536
SMALL_CHUNK_BYTES = 2
"""A chunk of one byte would be no object of its own in CPython."""
SEND_TIMEOUT_S = 20.0
"""Time after which a caller gives up that the router does not read from."""
IDLE_PROCESSOR_SHARE = 0.3
"""Share of a core below which a router has read what was sent."""
IDLE_TIMEOUT_S = 30.0
"""Longest wait until it has."""
SAMPLE_INTERVAL_S = 0.05
"""Interval of the samples of a router's open descriptors."""

OVERSIZED_ANNOUNCED = "oversized, announced"
OVERSIZED_CHUNKED = "oversized, chunked"
UNFINISHED_LARGE_CHUNKS = "unfinished, large chunks"
UNFINISHED_SMALL_CHUNKS = "unfinished, small chunks"
ENDLESS_CHUNK_SIZE = "chunk size line without end"
ENDLESS_TRAILER = "trailer without end"

CROWDS = (
    OVERSIZED_ANNOUNCED,
    OVERSIZED_CHUNKED,
    UNFINISHED_LARGE_CHUNKS,
    UNFINISHED_SMALL_CHUNKS,
    ENDLESS_CHUNK_SIZE,
    ENDLESS_TRAILER,
)
"""Kinds of crowds, one kind of body each."""


@dataclass(slots=True)
class CrowdResult:
    """What a crowd did to a router."""

    peak_memory_bytes: int
    """Largest resident memory of the process since its start."""
    peak_descriptors: int
    """Largest number of open descriptors that was seen."""


def run_crowd(crowd: str, address: str, head: list[str], pid: int) -> CrowdResult:
    """Run a crowd against a router, and leave its connections open.

    Args:
        crowd: One of `CROWDS`.
        address: IP address and port of the router.
        head: Request line and headers without any on the body.
        pid: Process id of the router.

    Returns:
        Peaks of the router's memory and descriptors. Both are zero if it has ended.
    """
    host, _, port = address.rpartition(":")
    connections = []
    for _ in range(CALLERS):
        connection = green_socket.create_connection((host, int(port)))
        connection.settimeout(SEND_TIMEOUT_S)
        connections.append(connection)
    peak_descriptors = 0
    tasks = [
        eventlet.spawn(_send, connection, crowd, head) for connection in connections
    ]
    while not all(task.dead for task in tasks):
        peak_descriptors = max(peak_descriptors, count_descriptors(pid))
        eventlet.sleep(SAMPLE_INTERVAL_S)
    peak_descriptors = max(peak_descriptors, count_descriptors(pid))
    _open_crowds.append(connections)
    _wait_idle(pid)
    return CrowdResult(peak_memory_bytes(pid), peak_descriptors)


def close_crowds() -> None:
    """Close the connections of all crowds."""
    while _open_crowds:
        for connection in _open_crowds.pop():
            connection.close()


def _wait_idle(pid: int) -> None:
    """Wait until a process has read what its callers sent, and has little to do."""
    used_s = -1.0
    with eventlet.Timeout(IDLE_TIMEOUT_S, False):
        while _processor_time_s(pid) - used_s > IDLE_PROCESSOR_SHARE:
            used_s = _processor_time_s(pid)
            eventlet.sleep(1.0)


def _processor_time_s(pid: int) -> float:
    try:
        return processor_s(pid)
    except OSError:
        # The process has ended.
        return 0.0


_open_crowds: list[list[green_socket.socket]] = []


def _send(connection: green_socket.socket, crowd: str, head: list[str]) -> None:
    try:
        for data in _request_parts(crowd, head):
            connection.sendall(data)
            # All callers of a crowd send at the same time.
            eventlet.sleep(0)
    except OSError:
        # The router refused the rest, or did not read it in time.
        return


def _request_parts(crowd: str, head: list[str]) -> Iterator[bytes]:
    if crowd == OVERSIZED_ANNOUNCED:
        framing = f"Content-Length: {OVERSIZED_BYTES}"
    else:
        framing = "Transfer-Encoding: chunked"
    yield "\r\n".join([*head, framing, "", ""]).encode()
    block = b"x" * LARGE_CHUNK_BYTES
    if crowd == OVERSIZED_ANNOUNCED:
        yield from [block] * (OVERSIZED_BYTES // len(block))
    elif crowd == OVERSIZED_CHUNKED:
        yield from [_chunk(block)] * (OVERSIZED_BYTES // len(block))
    elif crowd == UNFINISHED_LARGE_CHUNKS:
        # The body ends some bytes before the limit, and its last chunk is missing.
        yield from [_chunk(block)] * (MAX_BODY_BYTES // len(block) - 1)
        yield _chunk(block[:-16])
    elif crowd == UNFINISHED_SMALL_CHUNKS:
        count = SMALL_CHUNKS_BODY_BYTES // SMALL_CHUNK_BYTES
        yield _chunk(block[:SMALL_CHUNK_BYTES]) * count
    elif crowd == ENDLESS_CHUNK_SIZE:
        yield b"1;"
        yield from [block] * (ENDLESS_LINE_BYTES // len(block))
    elif crowd == ENDLESS_TRAILER:
        yield b"0\r\nx: "
        yield from [block] * (ENDLESS_LINE_BYTES // len(block))


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
