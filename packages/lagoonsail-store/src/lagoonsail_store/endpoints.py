"""The endpoints of the key-value service, tried in turn."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_store.exchange import HTTP_ERRORS, Lost, Reply, exchange, open_pool
from lagoonsail_store.gateway_json import decode_object, encode_body

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lagoonsail_core.clock import Clock

ROUNDS = 3
"""How often all endpoints are tried within the time of one call."""
ROUND_PAUSE_MS = 50.0
"""Longest pause between two rounds; the pause is random."""
MALFORMED = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What a malformed answer raises while it is read."""


@dataclass(slots=True)
class CallResult:
    """An answer that ends a call."""

    status: int
    """200, or the status of a refusal that no repetition changes."""
    body: dict
    """The JSON object of the answer."""
    in_doubt: bool
    """Whether an earlier attempt of this call may have been carried out too."""


def _is_final(status: int) -> bool:
    return status == 200 or (400 <= status < 500 and status != 429)


def _read_result(reply: Reply | Lost, in_doubt: bool) -> CallResult | Lost:
    if isinstance(reply, Lost):
        return reply
    try:
        body = decode_object(reply.body)
    except ValueError:
        return Lost(f"answer with status {reply.status} is no JSON", may_have_run=True)
    if _is_final(reply.status):
        return CallResult(reply.status, body, in_doubt)
    return Lost(f"status {reply.status}: {body.get('message')}", may_have_run=True)


class Endpoints:
    """Calls to whichever endpoint answers; all calls must be safe to repeat."""

    __slots__ = ("_clock", "_pools", "_preferred", "counters")

    counters: Counter
    """Calls by kind and result, and `("bytes", "in"|"out")` of bodies."""

    def __init__(self, addresses: list[str], clock: Clock) -> None:
        self.counters = Counter()
        self._clock = clock
        self._pools = [open_pool(address) for address in addresses]
        # The endpoint that answered last; a dead one costs its share of time once.
        self._preferred = 0

    def call(
        self,
        kind: str,
        path: str,
        body: dict,
        timeout_ms: float,
        find_fault: Callable[[dict], str] | None = None,
    ) -> CallResult | Unavailable:
        """Post a call, again to the next endpoint while there is no answer.

        Args:
            kind: Kind of the call, for the counters.
            path: Path of the call.
            body: JSON object; posting it twice must do no more than posting it once.
            timeout_ms: Bound of the whole call with all attempts, in milliseconds.
            find_fault: Says why an answer is not accepted; empty if it is. Given for
                reads only, which change nothing.

        Returns:
            The answer, or why there is none.
        """
        data = encode_body(body)
        deadline_ms = self._clock.now_ms() + timeout_ms
        lost = Lost("no time was left", may_have_run=False)
        in_doubt = False
        for index, patience in self._attempts(kind, deadline_ms):
            left_ms = deadline_ms - self._clock.now_ms()
            reply = self._post(index, path, data, left_ms / patience)
            result = _read_result(reply, in_doubt)
            if isinstance(result, CallResult) and find_fault and result.status == 200:
                fault = find_fault(result.body)
                result = Lost(fault, may_have_run=False) if fault else result
            if isinstance(result, CallResult):
                self._preferred = index
                return result
            lost = result
            in_doubt = in_doubt or lost.may_have_run
        self.counters[kind, "unavailable"] += 1
        may_have_changed = in_doubt and find_fault is None
        doubt = "; it may have been carried out" if may_have_changed else ""
        return Unavailable(f"key-value service: {lost.reason}{doubt}")

    def _attempts(self, kind: str, deadline_ms: float) -> Iterator[tuple[int, int]]:
        """Yield the endpoint and how many are left in the round, while there is time.

        Each attempt may take its share of the time that is left.
        """
        count = len(self._pools)
        first = self._preferred
        for attempt in range(ROUNDS * count):
            if attempt and attempt % count == 0:
                self._pause(deadline_ms)
            if self._clock.now_ms() >= deadline_ms:
                return
            if attempt:
                self.counters[kind, "repeated"] += 1
            yield (first + attempt) % count, count - attempt % count

    def _post(
        self, index: int, path: str, data: bytes, timeout_ms: float
    ) -> Reply | Lost:
        self.counters["bytes", "out"] += len(data)
        reply = exchange(self._pools[index], "POST", path, data, timeout_ms)
        if isinstance(reply, Reply):
            self.counters["bytes", "in"] += len(reply.body)
        return reply

    def _pause(self, deadline_ms: float) -> None:
        left_ms = deadline_ms - self._clock.now_ms()
        pause_ms = random.uniform(0.5, 1.0) * ROUND_PAUSE_MS
        eventlet.sleep(max(0.0, min(pause_ms, left_ms)) / 1000.0)

    def stream(
        self, path: str, body: dict, timeout_ms: float, idle_ms: float
    ) -> Iterator[dict]:
        """Post a call whose answer goes on, and yield its lines.

        The stream has a connection of its own, which is closed at the end.

        Args:
            path: Path of the call.
            body: JSON object.
            timeout_ms: Bound of the time until the first line, over all endpoints.
            idle_ms: Silence that ends the stream.

        Yields:
            The JSON object of each line, until any error.
        """
        data = encode_body(body)
        deadline_ms = self._clock.now_ms() + timeout_ms
        for index, patience in self._attempts("watch", deadline_ms):
            left_ms = deadline_ms - self._clock.now_ms()
            source = self._pools[index]
            pool = open_pool(f"{source.host}:{source.port}")
            lines = self._stream_lines(pool, path, data, idle_ms)
            try:
                first = _first_line(lines, left_ms / patience)
                if first is None:
                    continue
                self._preferred = index
                yield first
                yield from lines
                return
            except (*HTTP_ERRORS, *MALFORMED):
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
            rest = b""
            for chunk in response.read_chunked():
                self.counters["bytes", "in"] += len(chunk)
                *whole, rest = (rest + chunk).split(b"\n")
                for line in whole:
                    yield decode_object(line)
        finally:
            response.close()


def _first_line(lines: Iterator[dict], timeout_ms: float) -> dict | None:
    timer = eventlet.Timeout(timeout_ms / 1000.0)
    try:
        return next(lines, None)
    except eventlet.Timeout as timeout:
        if timeout is not timer:
            raise
        return None
    except (*HTTP_ERRORS, *MALFORMED):
        return None
    finally:
        timer.cancel()
