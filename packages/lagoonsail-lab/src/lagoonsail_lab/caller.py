"""Callers that act as clients behind a load balancer and record their answers."""

from __future__ import annotations

import json
import random
import uuid
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_lab.answers import check_answer
from lagoonsail_lab.call_record import (
    RAN_GONE,
    RAN_LOST,
    RAN_NO,
    RAN_UNKNOWN,
    Attempt,
    Call,
    CallRecord,
)
from lagoonsail_lab.deployments import account_key

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_INTERVAL_S = 0.1
"""Time between two readiness checks of a router, seconds."""
POLL_TIMEOUT_S = 0.5
"""Timeout of a readiness check, after which a router is not ready, seconds."""
CONNECT_TIMEOUT_S = 2.0
"""Timeout of opening a connection, seconds."""
READ_TIMEOUT_S = 45.0
"""Read timeout, seconds; longer than the queue timeout of the documents."""
MAX_ATTEMPTS = 8
"""Maximum attempts of a call; only one that is known not to have run is retried."""
MAX_RETRY_AFTER_S = 0.5
"""Maximum wait before a retry, even if Retry-After is longer, seconds."""
MIN_RETRY_WAIT_S = 0.02
"""Minimum wait before a retry, seconds."""

RETRIED_STATUSES = (0, 429, 503)
"""Status codes after which to retry; 0 if no connection was opened."""
PREFERRED_FRACTION = 0.7
"""Fraction of the attempts that go to a preferred router, if one is ready."""


class Balancer:
    """Polls the readiness of routers and chooses among the ready ones."""

    __slots__ = ("_addresses", "_http", "_random", "_threads", "ready")

    ready: set[str]
    """Names of the routers that are ready."""

    def __init__(self, routers: dict[str, tuple[str, str]], seed: int = 1) -> None:
        """Start polling routers.

        Args:
            routers: Callers' address and admin address by router name.
            seed: Seed of the random choices.
        """
        self._addresses = routers
        self._random = random.Random(seed)
        self._http = urllib3.PoolManager(
            num_pools=len(routers) + 1,
            retries=False,
            timeout=urllib3.Timeout(total=POLL_TIMEOUT_S),
        )
        self.ready = set(routers)
        self._threads = [eventlet.spawn(self._poll, name) for name in routers]

    def _poll(self, name: str) -> None:
        while True:
            if self._is_ready(name):
                self.ready.add(name)
            else:
                self.ready.discard(name)
            eventlet.sleep(POLL_INTERVAL_S)

    def _is_ready(self, name: str) -> bool:
        url = f"http://{self._addresses[name][1]}/readyz"
        try:
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def choose(
        self, avoid: str, preferred: frozenset[str] = frozenset()
    ) -> tuple[str, str]:
        """Choose a router: a ready one if possible, and not the one to avoid.

        Args:
            avoid: Name of a router that has just failed, or empty.
            preferred: Routers that receive most attempts.

        Returns:
            Name and address of the router.
        """
        names = sorted(self.ready - {avoid}) or sorted(self.ready)
        preferred_names = [name for name in names if name in preferred]
        if preferred_names and self._random.random() < PREFERRED_FRACTION:
            names = preferred_names
        name = self._random.choice(names or sorted(self._addresses))
        return name, self._addresses[name][0]

    def stop(self) -> None:
        """Stop polling the routers."""
        for thread in self._threads:
            thread.kill()


class Caller:
    """Makes calls through a balancer and records them."""

    __slots__ = (
        "_balancer",
        "_clock",
        "_http",
        "_keep_alive",
        "_preferred",
        "_retries_unknown",
        "records",
    )

    records: list[CallRecord]
    """All calls in order of their start, including unfinished ones."""

    def __init__(
        self,
        balancer: Balancer,
        keep_alive: bool = True,
        clock: Clock | None = None,
        preferred: frozenset[str] = frozenset(),
        retries_unknown: bool = False,
    ) -> None:
        """Prepare a caller without making a call.

        Args:
            balancer: Chooses the routers.
            keep_alive: Whether connections are reused.
            clock: Source of the time.
            preferred: Routers that receive most attempts.
            retries_unknown: Whether a call that may have run is sent once more with
                the same idempotency key, if it has one.
        """
        self._balancer = balancer
        self._keep_alive = keep_alive
        self._preferred = preferred
        self._retries_unknown = retries_unknown
        self._clock = clock or Clock()
        self._http = urllib3.PoolManager(
            num_pools=50,
            maxsize=256,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )
        self.records = []

    def make(self, call: Call) -> CallRecord:
        """Make a call and retry it while it is known not to have run.

        Args:
            call: The call.

        Returns:
            Its record, which is also added to `records`.
        """
        record = CallRecord(call)
        self.records.append(record)
        avoid = ""
        for _ in range(MAX_ATTEMPTS):
            attempt = self._attempt(record, avoid)
            if attempt.ran != RAN_NO or attempt.status not in RETRIED_STATUSES:
                break
            avoid = attempt.router
            wait_s = max(MIN_RETRY_WAIT_S, attempt.retry_after_s)
            eventlet.sleep(min(wait_s, MAX_RETRY_AFTER_S))
        may_have_executed = record.last.ran in (RAN_UNKNOWN, RAN_LOST)
        if self._retries_unknown and call.idempotency_key and may_have_executed:
            self._attempt(record, record.last.router)
        return record

    def abandon(self, call: Call, after_s: float) -> CallRecord:
        """Make a call without retries and abandon it if its answer takes too long.

        Args:
            call: The call.
            after_s: Time after which the caller disconnects, seconds.

        Returns:
            Its record, which is also added to `records`.
        """
        record = CallRecord(call)
        self.records.append(record)
        with eventlet.Timeout(after_s, False):
            self._attempt(record, "")
        attempt = record.last
        if not attempt.ended_wall_ms:
            attempt.ran = RAN_GONE
            attempt.reason = f"the caller disconnected after {after_s} s"
            attempt.ended_wall_ms = self._clock.wall_ms()
        return record

    def _attempt(self, record: CallRecord, avoid: str) -> Attempt:
        name, address = self._balancer.choose(avoid, self._preferred)
        attempt = Attempt(uuid.uuid4().hex, name)
        attempt.started_wall_ms = self._clock.wall_ms()
        record.attempts.append(attempt)
        try:
            self._exchange(record.call, attempt, address)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            # No connection was opened, so nothing can have run.
            attempt.ran = RAN_NO
            attempt.reason = f"connection failed: {type(error).__name__}"
        except urllib3.exceptions.HTTPError as error:
            # A truncated answer shows that the call may have run; without a status, the
            # caller learned nothing about its outcome.
            attempt.ran = RAN_UNKNOWN if attempt.status else RAN_LOST
            attempt.reason = f"{type(error).__name__}: {error}"
        attempt.ended_wall_ms = self._clock.wall_ms()
        return attempt

    def _exchange(self, call: Call, attempt: Attempt, address: str) -> None:
        url = f"http://{address}/{call.side}/{call.service}{call.path}"
        answer = self._http.request(
            call.method,
            url,
            body=call.body,
            headers=self._headers(call, attempt),
            preload_content=False,
        )
        try:
            attempt.status = answer.status
            body = self._read(answer, attempt)
        except BaseException:
            # Unread data must not be read as the answer to the next call.
            answer.close()
            raise
        answer.release_conn()
        check_answer(call, attempt, body, answer.headers)

    def _headers(self, call: Call, attempt: Attempt) -> dict[str, str]:
        key = account_key(call.side, call.service, call.account)
        headers = {
            "Authorization": f"Bearer {key}",
            "X-Request-Id": attempt.request_id,
            "Content-Type": "application/json",
        }
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        if call.cost_hint:
            headers["X-Cost-Hint"] = f"{call.cost_hint:g}"
        if not self._keep_alive:
            headers["Connection"] = "close"
        return headers

    def _read(self, answer: urllib3.BaseHTTPResponse, attempt: Attempt) -> bytes:
        chunks = []
        for chunk in answer.stream(65536):
            if not chunks:
                attempt.first_ms = self._clock.wall_ms() - attempt.started_wall_ms
            chunks.append(chunk)
        return b"".join(chunks)

    def whole(self) -> list[CallRecord]:
        """Return the records of the calls with a complete, correct answer."""
        return [r for r in self.records if r.attempts and r.is_whole]


def make_prompt(
    side: str,
    service: str,
    account: str,
    tokens: int,
    is_stream: bool,
    text: str,
    hints: bool = True,
) -> Call:
    """Return a completion call to an engine.

    Args:
        side: Side of the service.
        service: Service, unqualified.
        account: Account, unqualified.
        tokens: Actual length of the answer, tokens.
        is_stream: Whether to request a stream.
        text: Prompt without the length; it should differ between calls.
        hints: Whether the call carries a cost hint for the router.

    Returns:
        The call.
    """
    fields = {"prompt": f"{text} #tokens={tokens}", "max_tokens": tokens}
    body = json.dumps({**fields, "stream": is_stream}).encode()
    hint = float(tokens) if hints else 0.0
    path = "/v1/completions"
    return Call(side, service, account, "POST", path, body, is_stream, True, "", hint)


def make_plain(
    side: str,
    service: str,
    account: str,
    work_ms: float,
    path: str,
    is_repeatable: bool,
) -> Call:
    """Return a call to a plain service, with an idempotency key if not repeatable.

    Args:
        side: Side of the service.
        service: Service, unqualified.
        account: Account, unqualified.
        work_ms: Time that the call takes on a warm server, milliseconds.
        path: Path; POST /search may be repeated, POST /bibs may not.
        is_repeatable: Whether the service document allows the call to be repeated.

    Returns:
        The call.
    """
    body = json.dumps({"work_ms": work_ms, "unique": uuid.uuid4().hex}).encode()
    key = "" if is_repeatable else uuid.uuid4().hex
    return Call(
        side, service, account, "POST", path, body, False, is_repeatable, key, work_ms
    )


def call_in_loop(
    caller: Caller,
    make_call: Callable[[], Call],
    until_ms: float,
    pause_s: Callable[[], float] = lambda: 0.0,
) -> None:
    """Make calls one after the other until a deadline.

    Args:
        caller: Makes the calls.
        make_call: Returns the next call.
        until_ms: Time after which no call starts, monotonic, milliseconds.
        pause_s: Returns the pause after a call, seconds.
    """
    clock = Clock()
    while clock.now_ms() < until_ms:
        caller.make(make_call())
        eventlet.sleep(pause_s())


def call_at_rate(
    caller: Caller,
    make_call: Callable[[], Call],
    until_ms: float,
    rate: float,
    seed: int,
) -> None:
    """Start calls at random times without waiting for earlier ones.

    Args:
        caller: Makes the calls.
        make_call: Returns the next call.
        until_ms: Time after which no call starts, monotonic, milliseconds.
        rate: Mean rate, calls per second.
        seed: Seed of the random times.
    """
    clock = Clock()
    rng = random.Random(seed)
    next_ms = clock.now_ms()
    calls = []
    while next_ms < until_ms:
        eventlet.sleep(max(0.0, next_ms - clock.now_ms()) / 1000.0)
        calls.append(eventlet.spawn(caller.make, make_call()))
        next_ms += rng.expovariate(rate) * 1000.0
    for thread in calls:
        thread.wait()
