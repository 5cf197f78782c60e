"""Calls to the key-value service with retries over its endpoints."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_store.exchange import (
    HTTP_ERRORS,
    ExchangeFailure,
    Reply,
    exchange,
    open_pool,
)
from lagoonsail_store.gateway_json import decode_object, encode_body

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lagoonsail_core.clock import Clock

MAX_ROUNDS = 3
"""Maximum number of passes over all endpoints per call."""
MAX_ROUND_PAUSE_MS = 50.0
"""Upper bound of the random pause between two rounds."""
DECODE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Exceptions that parsing a malformed answer can raise."""


@dataclass(slots=True)
class CallResult:
    """A final answer, which is not retried."""

    status: int
    """200, or the status of an error that a retry would not change."""
    body: dict
    """The JSON object of the answer."""
    in_doubt: bool
    """Whether an earlier attempt of this call may have been executed as well."""


def _is_final(status: int) -> bool:
    return status == 200 or (400 <= status < 500 and status != 429)


def _read_result(
    reply: Reply | ExchangeFailure, in_doubt: bool
) -> CallResult | ExchangeFailure:
    if isinstance(reply, ExchangeFailure):
        return reply
    try:
        body = decode_object(reply.body)
    except ValueError:
        return ExchangeFailure(
            f"answer with status {reply.status} is no JSON", may_have_run=True
        )
    if _is_final(reply.status):
        return CallResult(reply.status, body, in_doubt)
    return ExchangeFailure(
        f"status {reply.status}: {body.get('message')}", may_have_run=True
    )


class Endpoints:
    """Sends idempotent calls to the first endpoint that answers."""

    __slots__ = ("_clock", "_pools", "_preferred_index", "counters")

    counters: Counter
    """Calls by kind and result; body bytes under `("bytes", "in"|"out")`."""

    def __init__(self, addresses: list[str], clock: Clock) -> None:
        self.counters = Counter()
        self._clock = clock
        self._pools = [open_pool(address) for address in addresses]
        # Index of the endpoint that answered last. Starting there means that a dead
        # endpoint costs its share of the timeout only once.
        self._preferred_index = 0

    def call(
        self,
        kind: str,
        path: str,
        body: dict,
        timeout_ms: float,
        validate: Callable[[dict], str] | None = None,
    ) -> CallResult | Unavailable:
        """Post a call and retry it on the next endpoint until one answers.

        Args:
            kind: Kind of the call, for the counters.
            path: Path of the call.
            body: JSON object of an idempotent call.
            timeout_ms: Timeout of the call including all attempts, in milliseconds.
            validate: Returns why an answer is rejected, or an empty text. For reads
                only, which change nothing.

        Returns:
            The answer, or the reason of the last failure.
        """
        data = encode_body(body)
        deadline_ms = self._clock.now_ms() + timeout_ms
        failure = ExchangeFailure("no time was left", may_have_run=False)
        in_doubt = False
        for index, endpoints_left in self._attempts(kind, deadline_ms):
            remaining_ms = deadline_ms - self._clock.now_ms()
            reply = self._post(index, path, data, remaining_ms / endpoints_left)
            result = _read_result(reply, in_doubt)
            if isinstance(result, CallResult) and validate and result.status == 200:
                rejection = validate(result.body)
                result = (
                    ExchangeFailure(rejection, may_have_run=False)
                    if rejection
                    else result
                )
            if isinstance(result, CallResult):
                self._preferred_index = index
                return result
            failure = result
            in_doubt = in_doubt or failure.may_have_run
        self.counters[kind, "unavailable"] += 1
        may_have_changed = in_doubt and validate is None
        outcome_note = "; it may have been carried out" if may_have_changed else ""
        return Unavailable(f"key-value service: {failure.reason}{outcome_note}")

    def _attempts(self, kind: str, deadline_ms: float) -> Iterator[tuple[int, int]]:
        """Yield endpoint indices until the deadline.

        Each comes with the number of endpoints left in the round, itself included;
        an attempt may use the remaining time divided by it.
        """
        count = len(self._pools)
        first = self._preferred_index
        for attempt in range(MAX_ROUNDS * count):
            if attempt and attempt % count == 0:
                self._pause(deadline_ms)
            if self._clock.now_ms() >= deadline_ms:
                return
            if attempt:
                self.counters[kind, "repeated"] += 1
            yield (first + attempt) % count, count - attempt % count

    def _post(
        self, index: int, path: str, data: bytes, timeout_ms: float
    ) -> Reply | ExchangeFailure:
        self.counters["bytes", "out"] += len(data)
        reply = exchange(self._pools[index], "POST", path, data, timeout_ms)
        if isinstance(reply, Reply):
            self.counters["bytes", "in"] += len(reply.body)
        return reply

    def _pause(self, deadline_ms: float) -> None:
        remaining_ms = deadline_ms - self._clock.now_ms()
        pause_ms = random.uniform(0.5, 1.0) * MAX_ROUND_PAUSE_MS
        eventlet.sleep(max(0.0, min(pause_ms, remaining_ms)) / 1000.0)

    def stream(
        self, path: str, body: dict, timeout_ms: float, idle_ms: float
    ) -> Iterator[dict]:
        """Post a call with a streaming answer and yield its lines.

        The stream uses a separate connection, which is closed at the end.

        Args:
            path: Path of the call.
            body: JSON object.
            timeout_ms: Timeout for the first line over all endpoints, in milliseconds.
            idle_ms: Idle timeout of the stream, in milliseconds.

        Yields:
            The JSON object of each line, until the first error.
        """
        data = encode_body(body)
        deadline_ms = self._clock.now_ms() + timeout_ms
        for index, endpoints_left in self._attempts("watch", deadline_ms):
            remaining_ms = deadline_ms - self._clock.now_ms()
            shared_pool = self._pools[index]
            pool = open_pool(f"{shared_pool.host}:{shared_pool.port}")
            lines = self._stream_lines(pool, path, data, idle_ms)
            try:
                first = _read_first_line(lines, remaining_ms / endpoints_left)
                if first is None:
                    continue
                self._preferred_index = index
                yield first
                yield from lines
                return
            except (*HTTP_ERRORS, *DECODE_ERRORS):
                return
            finally:
                lines.close()
                pool.close()

    def _stream_lines(
        self, pool: urllib3.HTTPConnectionPool, path: str, data: bytes, idle_ms: float
    ) -> Iterator[dict]:
        self.counters["bytes", "out"] += len(data)
        response = pool.urlopen(
            "POST",
            path,
            body=data,
            headers={"Content-Type": "application/json"},
            redirect=False,
            preload_content=False,
            timeout=idle_ms / 1000.0,
        )
        try:
            if response.status != 200:
                return
            partial = b""
            for chunk in response.read_chunked():
                self.counters["bytes", "in"] += len(chunk)
                *lines, partial = (partial + chunk).split(b"\n")
                for line in lines:
                    yield decode_object(line)
        finally:
            response.close()


def _read_first_line(lines: Iterator[dict], timeout_ms: float) -> dict | None:
    timer = eventlet.Timeout(timeout_ms / 1000.0)
    try:
        return next(lines, None)
    except eventlet.Timeout as timeout:
        if timeout is not timer:
            raise
        return None
    except (*HTTP_ERRORS, *DECODE_ERRORS):
        return None
    finally:
        timer.cancel()
