"""Reads the body of a request into memory, within the byte budget of the process."""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_overload.body_intake import BodyIntake
from lagoonsail_overload.byte_budget import ByteBudget
from lagoonsail_router.body_parts import join_part
from lagoonsail_router.problems import CallProblem

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_overload.body_intake import ArrivingBody

MAX_PART_BYTES = 65_536
"""Largest part of a body that is read at once."""
PARTS_PER_TURN = 4
"""Parts after which other tasks have their turn: a fast sender must not starve them."""
RETRY_AFTER_MEMORY_S = 1.0
"""Retry-After of a body that the budget has no room for. Silent bodies give up their
bytes after that time."""
INTAKE_KEY = "lagoonsail.intake"
"""Key of the intake in the WSGI environment."""
BODY_KEY = "lagoonsail.body"
"""Key of the reserved body in the WSGI environment."""
UNBOUNDED_BYTES = 1 << 40
"""Budget of a request that does not come from a port."""


class BodyStalledError(Exception):
    """The caller sends too little of the body, or too late."""


def read_body(
    env: dict,
    max_bytes: int,
    deadline_ms: float = math.inf,
    max_ms: float = math.inf,
) -> bytes | bytearray:
    """Read the body of a request.

    Its bytes stay reserved until the port has served the request, or `release_body`.

    Args:
        env: The WSGI environment.
        max_bytes: Longest body that is accepted.
        deadline_ms: Monotonic time at which the body must be whole.
        max_ms: Time from now in which it must be whole.

    Raises:
        CallProblem: If the body is longer, truncated, too slow, or more than the budget
            has room for.
    """
    length = int(env.get("CONTENT_LENGTH") or 0)
    is_chunked = "chunked" in env.get("HTTP_TRANSFER_ENCODING", "").lower()
    if length > max_bytes:
        raise _close_after(env, _body_too_large(max_bytes))
    if not length and not is_chunked:
        return b""
    intake = env.get(INTAKE_KEY) or BodyIntake(ByteBudget(UNBOUNDED_BYTES), Clock())
    body = intake.begin(None if is_chunked else length, _make_cancel(env))
    if body is None:
        raise _memory_short()
    env[BODY_KEY] = body
    # The first progress of a body is its beginning.
    deadline_ms = min(deadline_ms, body.progress_ms + max_ms)
    try:
        data = _receive(env, intake, body, max_bytes, deadline_ms)
    except BodyStalledError as error:
        raise _close_after(env, _body_stalled()) from error
    except (OSError, ValueError) as error:
        # The connection broke, or the framing of the body is malformed.
        if body.is_evicted:
            raise _close_after(env, _memory_short()) from error
        reason = f"the body broke off ({error})"
        raise _close_after(env, _body_truncated(reason)) from error
    if body.is_evicted:
        raise _close_after(env, _memory_short())
    if not is_chunked and len(data) != length:
        reason = f"the body ended after {len(data)} of {length} bytes"
        raise _close_after(env, _body_truncated(reason))
    intake.finish(body)
    return data


def release_body(env: dict) -> None:
    """Return the reserved bytes of a request's body to the budget.

    Args:
        env: The WSGI environment.
    """
    body = env.get(BODY_KEY)
    intake = env.get(INTAKE_KEY)
    if body is not None and intake is not None:
        intake.release(body)


def _receive(
    env: dict,
    intake: BodyIntake,
    body: ArrivingBody,
    max_bytes: int,
    deadline_ms: float,
) -> bytes | bytearray:
    source = env["wsgi.input"]
    limit = max_bytes + 1 if body.length is None else body.length
    data: bytes | bytearray = b""
    parts = 0
    try:
        while len(data) < limit:
            part = _read_part(
                source,
                min(limit - len(data), MAX_PART_BYTES),
                intake.remaining_ms(body, deadline_ms),
            )
            if not part:
                break
            if not intake.record(body, len(part)):
                raise _close_after(env, _memory_short())
            data = join_part(data, part)
            parts += 1
            if parts % PARTS_PER_TURN == 0:
                eventlet.sleep(0)
        if len(data) > max_bytes:
            raise _close_after(env, _body_too_large(max_bytes))
    except BaseException:
        # The traceback would hold the data until the request has its answer.
        data = b""
        raise
    return data


def _read_part(source: object, size: int, timeout_ms: float) -> bytes:
    if timeout_ms <= 0:
        raise BodyStalledError
    read = getattr(source, "read_some", None)
    if read is None:
        # The input of another server, or of a test.
        return source.read(size)
    if source.chunked_input:
        # A part may take many reads from the socket.
        with eventlet.Timeout(timeout_ms / 1000.0, BodyStalledError()):
            return read(size)
    sock = source.get_socket()
    usual_timeout_s = sock.gettimeout()
    sock.settimeout(timeout_ms / 1000.0)
    try:
        return read(size)
    except TimeoutError as error:
        raise BodyStalledError from error
    finally:
        sock.settimeout(usual_timeout_s)


def _make_cancel(env: dict) -> Callable[[], None]:
    """Return a function that wakes the task that reads the body."""
    get_socket = getattr(env["wsgi.input"], "get_socket", None)

    def cancel() -> None:
        try:
            if get_socket:
                get_socket().shutdown(socket.SHUT_RD)
        except OSError:
            # The caller has closed the connection, which wakes the task as well.
            return

    return cancel


def _close_after(env: dict, problem: CallProblem) -> CallProblem:
    """Let the port close the connection after the answer, and return the problem."""
    release_body(env)
    env["wsgi.input"].must_close = True
    return problem


def _memory_short() -> CallProblem:
    return CallProblem(
        503,
        "memory_short",
        "the router has no memory left for the body",
        "try again after the time in Retry-After",
        retry_after_s=RETRY_AFTER_MEMORY_S,
    )


def _body_stalled() -> CallProblem:
    return CallProblem(
        408,
        "body_stalled",
        "the body does not arrive",
        "send the body without pauses",
    )


def _body_truncated(problem: str) -> CallProblem:
    return CallProblem(400, "truncated_body", problem, "send the whole body")


def _body_too_large(max_bytes: int) -> CallProblem:
    return CallProblem(
        413,
        "body_too_large",
        f"the body is larger than {max_bytes} bytes",
        "send less, or raise max_body_bytes in the service document",
    )
