"""Stand-in for the key-value service: a subset of the etcd v3 JSON gateway."""

from __future__ import annotations

import json
import random
from collections import Counter
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_standins.gateway_fields import (
    encode_event,
    field,
    is_in_range,
    malformed,
    read_bytes,
    read_int,
)
from lagoonsail_standins.key_value_calls import KeyValueCalls
from lagoonsail_standins.key_value_state import KeyValueState, StateError
from lagoonsail_standins.serving import (
    Answer,
    MalformedRequestError,
    Request,
    answer_dropped,
    answer_json,
    make_app,
    run,
    serve,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lagoonsail_standins.key_value_state import KeyRecord

LEASE_CHECK_INTERVAL_S = 0.02
"""Time between two checks for expired leases, seconds; also the poll interval of
calls that wait in mode `silent`."""
WATCH_POLL_INTERVAL_S = 0.5
"""Time between two checks whether the client of an idle watch has disconnected,
seconds."""
MODES = ("up", "down", "slow", "silent")
"""Accepted values of `Control.mode`."""


@dataclass(slots=True)
class Control:
    """The active faults."""

    mode: str = "up"
    """One of MODES."""
    delay_ms: float = 0.0
    """Delay of each call in mode `slow`, milliseconds."""
    lose_answers: float = 0.0
    """Fraction of the state-changing calls that are carried out but not answered."""
    stale_reads: bool = False
    """Answer ranges from a snapshot that was taken when this was set."""


class KeyValue:
    """The key-value service with its watches and injected faults."""

    __slots__ = (
        "_calls",
        "_clock",
        "_progress_ms",
        "_random",
        "_watches",
        "bytes_in",
        "bytes_out",
        "calls",
        "control",
        "state",
    )

    control: Control
    """The active faults."""
    state: KeyValueState
    """Keys and leases."""
    calls: Counter
    """Calls by kind; `dropped` counts calls that were not carried out, `lost_answers`
    those that were carried out but not answered."""
    bytes_in: Counter
    """Bytes of request bodies by kind of call."""
    bytes_out: Counter
    """Bytes of answer bodies by kind of call."""

    def __init__(self, clock: Clock, seed: int, progress_ms: float) -> None:
        self.control = Control()
        self.state = KeyValueState()
        self.calls = Counter()
        self.bytes_in = Counter()
        self.bytes_out = Counter()
        self._clock = clock
        self._random = random.Random(seed)
        self._progress_ms = progress_ms
        self._watches: set[Request] = set()
        self._calls = KeyValueCalls(self.state, clock, self._random)

    def routes(self) -> dict[tuple[str, str], Callable[[Request], Answer]]:
        """Return the handlers by method and path."""
        calls = self._calls
        return {
            ("POST", "/v3/kv/range"): self._make_handler("range", calls.range),
            ("POST", "/v3/kv/put"): self._make_handler("put", calls.put),
            ("POST", "/v3/kv/deleterange"): self._make_handler("delete", calls.delete),
            ("POST", "/v3/kv/txn"): self._make_handler("txn", calls.txn),
            ("POST", "/v3/lease/grant"): self._make_handler("grant", calls.grant),
            ("POST", "/v3/lease/revoke"): self._make_handler("revoke", calls.revoke),
            ("POST", "/v3/lease/keepalive"): self._make_handler("renew", calls.renew),
            ("POST", "/v3/watch"): self._watch,
            ("POST", "/_control"): self._set_control,
            ("GET", "/_record"): self._show_counts,
        }

    def run_lease_expiry(self) -> None:
        """Revoke expired leases in an endless loop, to be run in a green thread."""
        while True:
            eventlet.sleep(LEASE_CHECK_INTERVAL_S)
            if self.control.mode in ("up", "slow"):
                self.state.expire_leases(self._clock.now_ms())

    def _wait_for_admission(self, request: Request) -> bool:
        """Wait as the mode requires, and return whether to carry out the call."""
        if self.control.mode == "slow":
            eventlet.sleep(self.control.delay_ms / 1000.0)
        if self.control.mode == "silent":
            self._wait_for_other_mode(request)
            return False
        return self.control.mode != "down"

    def _wait_for_other_mode(self, request: Request) -> None:
        while self.control.mode == "silent" and not request.is_client_gone():
            eventlet.sleep(LEASE_CHECK_INTERVAL_S)

    def _make_handler(
        self, kind: str, call: Callable[[dict], dict]
    ) -> Callable[[Request], Answer]:
        """Return the handler of a call, with faults, counters and gRPC errors."""

        def handle(request: Request) -> Answer:
            if not self._wait_for_admission(request):
                self.calls["dropped"] += 1
                return answer_dropped()
            self.calls[kind] += 1
            self.bytes_in[kind] += len(request.body)
            old_marker = self._change_marker()
            answer = self._run_call(call, request)
            has_changed = self._change_marker() != old_marker
            if has_changed and self._random.random() < self.control.lose_answers:
                self.calls["lost_answers"] += 1
                return answer_dropped()
            self.bytes_out[kind] += len(answer.body)
            return answer

        return handle

    def _change_marker(self) -> tuple[int, int]:
        """Return a value that differs after every state-changing call."""
        return self.state.current.revision, len(self.state.leases)

    def _run_call(self, call: Callable[[dict], dict], request: Request) -> Answer:
        try:
            return answer_json(call(request.json()))
        except StateError as error:
            problem = {
                "error": error.problem,
                "message": error.problem,
                "code": error.code,
            }
            return answer_json(problem, error.status)

    def _watch(self, request: Request) -> Answer:
        if not self._wait_for_admission(request):
            self.calls["dropped"] += 1
            return answer_dropped()
        create = field(request.json(), "create_request")
        if type(create) is not dict:
            raise malformed("watch without create_request")
        self.calls["watch"] += 1
        self.bytes_in["watch"] += len(request.body)
        lines = self._watch_lines(request, create)
        return Answer(200, lines, {"Content-Type": "application/json"})

    def _encode_line(self, result: dict) -> bytes:
        line = json.dumps({"result": result}, separators=(",", ":")).encode() + b"\n"
        self.bytes_out["watch"] += len(line)
        return line

    def _encode_events(self, changes: list[KeyRecord]) -> bytes:
        return self._encode_line(
            {
                "header": self._calls.header(changes[-1].mod_revision),
                "events": [encode_event(change) for change in changes],
            }
        )

    def _watch_lines(self, request: Request, create: dict) -> Iterator[bytes]:
        first_key, range_end = (
            read_bytes(create, name) for name in ("key", "range_end")
        )
        start = read_int(create, "start_revision")
        has_progress = bool(field(create, "progress_notify", False))
        commits = eventlet.queue.LightQueue()
        # No green thread runs between subscribing and reading the history, so the watch
        # misses no change.
        self.state.subscribe(commits.put)
        if start:
            commits.put([r for r in self.state.history if r.mod_revision >= start])
        self._watches.add(request)
        revision = self.state.current.revision
        try:
            yield self._encode_line(
                {"header": self._calls.header(revision), "created": True}
            )
            sent_ms = self._clock.now_ms()
            while not request.is_client_gone():
                changes = self._next_changes(commits, first_key, range_end)
                self._wait_for_other_mode(request)
                now_ms = self._clock.now_ms()
                if changes:
                    yield self._encode_events(changes)
                    sent_ms = now_ms
                elif has_progress and now_ms - sent_ms >= self._progress_ms:
                    revision = self.state.current.revision
                    yield self._encode_line({"header": self._calls.header(revision)})
                    sent_ms = now_ms
        finally:
            self.state.unsubscribe(commits.put)
            self._watches.discard(request)

    @staticmethod
    def _next_changes(
        commits: eventlet.queue.LightQueue, first_key: bytes, range_end: bytes
    ) -> list[KeyRecord]:
        try:
            changes = commits.get(timeout=WATCH_POLL_INTERVAL_S)
        except eventlet.queue.Empty:
            return []
        return [item for item in changes if is_in_range(item.key, first_key, range_end)]

    def _set_control(self, request: Request) -> Answer:
        body = request.json()
        unknown = set(body) - set(Control.__dataclass_fields__)
        if unknown or body.get("mode", "up") not in MODES:
            raise MalformedRequestError(
                f"unknown control {sorted(body.items())}",
                f"mode is one of {', '.join(MODES)}",
            )
        old_mode = self.control.mode
        for name, value in body.items():
            setattr(self.control, name, value)
        if "stale_reads" in body:
            is_stale = body["stale_reads"]
            self._calls.stale_snapshot = self.state.snapshot() if is_stale else None
        self._apply_mode_change(old_mode)
        return answer_json(asdict(self.control))

    def _apply_mode_change(self, old_mode: str) -> None:
        if old_mode in ("down", "silent") and self.control.mode in ("up", "slow"):
            self.state.renew_all(self._clock.now_ms())
        if self.control.mode != "down":
            return
        for request in self._watches:
            request.drop_connection()

    def _show_counts(self, _request: Request) -> Answer:
        return answer_json(
            {
                "calls": self.calls,
                "bytes_in": self.bytes_in,
                "bytes_out": self.bytes_out,
                "revision": self.state.current.revision,
                "keys": len(self.state.current.records),
                "leases": len(self.state.leases),
                "watches": len(self._watches),
            }
        )


def main(*, port: int = 0, seed: int = 1, progress_ms: float = 2000.0) -> None:
    """Serve the key-value service until SIGTERM.

    Args:
        port: TCP port; 0 takes any free one.
        seed: Seed for the choice of lost answers and for lease IDs.
        progress_ms: Interval of progress notifications to watches that request them,
            milliseconds.
    """
    service = KeyValue(Clock(), seed, progress_ms)
    eventlet.spawn(service.run_lease_expiry)
    serve(make_app(service.routes()), port)


if __name__ == "__main__":
    run(main)
