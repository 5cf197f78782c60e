"""Callers that behave like clients behind a balancer, and record what they got."""

from __future__ import annotations

import json
import random
import uuid
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_lab.answers import judge_answer
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

POLL_S = 0.1
"""Time between two looks at a router's readiness, seconds."""
POLL_TIMEOUT_S = 0.5
"""Time after which a router that does not answer is not ready, seconds."""
CONNECT_TIMEOUT_S = 2.0
"""Time for a connection to open, seconds."""
READ_TIMEOUT_S = 45.0
"""Longest silence of a router, seconds; above the queue timeout of documents."""
MAX_ATTEMPTS = 8
"""Attempts of one call, all of them known not to have run but the last."""
MAX_RETRY_AFTER_S = 0.5
"""Longest wait before another attempt, whatever Retry-After says, seconds."""
RETRY_PAUSE_S = 0.02
"""Wait before another attempt when no Retry-After says more, seconds."""

RETRIED_STATUSES = (0, 429, 503)
"""Status codes after which another attempt may help; 0 if no connection opened."""
PREFERENCE = 0.7
"""Part of the attempts that go to a preferred router, if one is ready."""


class Balancer:
    """Knows which routers are ready and chooses among them."""

    __slots__ = ("_addresses", "_http", "_random", "_threads", "ready")

    ready: set[str]
    """Names of the routers that are ready."""

    def __init__(self, routers: dict[str, tuple[str, str]], seed: int = 1) -> None:
        """Begin to look at routers.

        Args:
            routers: Callers' address and admin address by name.
            seed: Seed of the choices.
        """
        self._addresses = routers
        self._random = random.Random(seed)
        self._http = urllib3.PoolManager(
            num_pools=len(routers) + 1,
            retries=False,
            timeout=urllib3.Timeout(total=POLL_TIMEOUT_S),
        )
        self.ready = set(routers)
        self._threads = [eventlet.spawn(self._watch, name) for name in routers]

    def _watch(self, name: str) -> None:
        while True:
            if self._is_ready(name):
                self.ready.add(name)
            else:
                self.ready.discard(name)
            eventlet.sleep(POLL_S)

    def _is_ready(self, name: str) -> bool:
        url = f"http://{self._addresses[name][1]}/readyz"
        try:
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def choose(
        self, avoid: str, preferred: frozenset[str] = frozenset()
    ) -> tuple[str, str]:
        """Return a router, ready if there is one and not the one to avoid.

        Args:
            avoid: Name of a router that has just failed, or empty.
            preferred: Routers that most attempts go to.

        Returns:
            Name and address.
        """
        names = sorted(self.ready - {avoid}) or sorted(self.ready)
        nearest = [name for name in names if name in preferred]
        if nearest and self._random.random() < PREFERENCE:
            names = nearest
        name = self._random.choice(names or sorted(self._addresses))
        return name, self._addresses[name][0]

    def stop(self) -> None:
        """Look at the routers no longer."""
        for thread in self._threads:
            thread.kill()


class Caller:
    """Makes calls through a balancer and keeps their records."""

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
    """All calls in order of their beginning; unfinished ones have no attempt's end."""

    def __init__(
        self,
        balancer: Balancer,
        keep_alive: bool = True,
        clock: Clock | None = None,
        preferred: frozenset[str] = frozenset(),
        retries_unknown: bool = False,
    ) -> None:
        """Prepare a caller; it makes no call yet.

        Args:
            balancer: Chooses the routers.
            keep_alive: Whether connections serve several calls.
            clock: Gives the time.
            preferred: Routers that most attempts go to.
            retries_unknown: Whether a call with an idempotency key that may have run
                is sent once more with the same key.
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
        """Make a call, again only while nothing of it ran.

        Args:
            call: The call.

        Returns:
            Its record, which is kept too.
        """
        record = CallRecord(call)
        self.records.append(record)
        avoid = ""
        for _ in range(MAX_ATTEMPTS):
            attempt = self._attempt(record, avoid)
            if attempt.ran != RAN_NO or attempt.status not in RETRIED_STATUSES:
                break
            avoid = attempt.router
            wait_s = max(RETRY_PAUSE_S, attempt.retry_after_s)
            eventlet.sleep(min(wait_s, MAX_RETRY_AFTER_S))
        is_in_doubt = record.last.ran in (RAN_UNKNOWN, RAN_LOST)
        if self._retries_unknown and call.idempotency_key and is_in_doubt:
            self._attempt(record, record.last.router)
        return record

    def abandon(self, call: Call, after_s: float) -> CallRecord:
        """Make a call once and go away when its answer takes too long.

        Args:
            call: The call.
            after_s: Patience, seconds.

        Returns:
            Its record, which is kept too.
        """
        record = CallRecord(call)
        self.records.append(record)
        with eventlet.Timeout(after_s, False):
            self._attempt(record, "")
        attempt = record.last
        if not attempt.ended_wall_ms:
            attempt.ran = RAN_GONE
            attempt.reason = f"the caller went away after {after_s} s"
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
            # Nothing was sent, so the caller knows it without being told.
            attempt.ran = RAN_NO
            attempt.reason = f"not connected: {type(error).__name__}"
        except urllib3.exceptions.HTTPError as error:
            # An answer that began and broke off says by itself that it is in doubt.
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
            # The rest of the answer must not be taken for that of the next call.
            answer.close()
            raise
        answer.release_conn()
        judge_answer(call, attempt, body, answer.headers)

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
        """Return the records of the calls with a whole answer."""
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
    """Return a call of an engine.

    Args:
        side: Side of the service.
        service: Service, unqualified.
        account: Account, unqualified.
        tokens: Real length of the answer.
        is_stream: Whether a stream is asked for.
        text: Prompt before the length; make it differ between calls.
        hints: Whether the cost is told to the router as well.

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
    """Return a call of a plain service, with an idempotency key if not repeatable.

    Args:
        side: Side of the service.
        service: Service, unqualified.
        account: Account, unqualified.
        work_ms: Time that the call takes on a warm server, milliseconds.
        path: Path; POST /search may be repeated, POST /bibs may not.
        is_repeatable: Whether the service's document says that it may be repeated.

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
    """Make one call after the other until a time.

    Args:
        caller: Makes the calls.
        make_call: Returns the next call.
        until_ms: No call begins later, monotonic time.
        pause_s: Returns the pause after each call, seconds.
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
    """Begin calls at random times, whether or not earlier ones have ended.

    Args:
        caller: Makes the calls.
        make_call: Returns the next call.
        until_ms: No call begins later, monotonic time.
        rate: Calls a second.
        seed: Seed of the times.
    """
    clock = Clock()
    chance = random.Random(seed)
    next_ms = clock.now_ms()
    calls = []
    while next_ms < until_ms:
        eventlet.sleep(max(0.0, next_ms - clock.now_ms()) / 1000.0)
        calls.append(eventlet.spawn(caller.make, make_call()))
        next_ms += chance.expovariate(rate) * 1000.0
    for thread in calls:
        thread.wait()
