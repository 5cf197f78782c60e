"""Stand-in for the key-value service: a subset of the etcd v3 JSON gateway."""

from __future__ import annotations

import base64
import binascii
import json
import operator
import random
from collections import Counter
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_standins.key_value_state import KeyValueState, Snapshot, StateError
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

LAPSE_INTERVAL_S = 0.02
"""How often leases are looked at."""
WATCH_POLL_S = 0.5
"""How often a quiet watch looks whether its client has gone."""
MODES = ("up", "down", "slow", "silent")
"""Accepted values of `Control.mode`."""

_COMPARE_FIELDS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
}
_COMPARE_RESULTS = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}


@dataclass(slots=True)
class Control:
    """The faults that are switched on."""

    mode: str = "up"
    """One of MODES."""
    delay_ms: float = 0.0
    """Delay of each call in mode `slow`."""
    lose_answers: float = 0.0
    """Fraction of the calls that change something and then get no answer."""
    stale_reads: bool = False
    """Answer ranges from the snapshot of the time when this was set."""


def _malformed(problem: str) -> MalformedRequestError:
    return MalformedRequestError(problem, "see the etcd v3 JSON gateway")


def _camel_case(name: str) -> str:
    first, *others = name.split("_")
    return first + "".join(part.capitalize() for part in others)


def _field(source: dict, name: str, default: object = None) -> object:
    """Return a field under either of the spellings that protobuf JSON accepts."""
    return source.get(name, source.get(_camel_case(name), default))


def _read_bytes(source: dict, name: str) -> bytes:
    try:
        return base64.b64decode(_field(source, name, ""), validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise _malformed(f"{name} is not base64") from error


def _read_int(source: dict, name: str) -> int:
    value = _field(source, name, 0)
    if type(value) not in (int, str):
        raise _malformed(f"{name} is not an int64")
    try:
        return int(value)
    except ValueError as error:
        raise _malformed(f"{name} is not an int64") from error


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _show_record(record: KeyRecord) -> dict[str, str]:
    """Return a record as protobuf JSON, which leaves out zeros and empty values."""
    numbers = ("create_revision", "mod_revision", "version", "lease")
    shown = {"key": _encode(record.key)}
    shown.update(
        (name, str(getattr(record, name))) for name in numbers if getattr(record, name)
    )
    if record.value:
        shown["value"] = _encode(record.value)
    return shown


def _show_event(record: KeyRecord) -> dict[str, object]:
    if record.version == 0:
        return {"type": "DELETE", "kv": _show_record(record)}
    return {"kv": _show_record(record)}


def _is_in_range(key: bytes, first: bytes, range_end: bytes) -> bool:
    if not range_end:
        return key == first
    if range_end == b"\0":
        return key >= first
    return first <= key < range_end


class KeyValue:
    """The calls of the key-value service, and the faults it shows on demand."""

    __slots__ = (
        "_clock",
        "_cluster_id",
        "_progress_ms",
        "_random",
        "_stale",
        "_watches",
        "bytes_in",
        "bytes_out",
        "calls",
        "control",
        "state",
    )

    control: Control
    """The faults that are switched on."""
    state: KeyValueState
    """Keys and leases."""
    calls: Counter
    """Calls by kind; `dropped` counts those that were not carried out."""
    bytes_in: Counter
    """Bytes of request bodies by kind."""
    bytes_out: Counter
    """Bytes of answer bodies by kind."""

    def __init__(self, clock: Clock, seed: int, progress_ms: float) -> None:
        self.control = Control()
        self.state = KeyValueState()
        self.calls = Counter()
        self.bytes_in = Counter()
        self.bytes_out = Counter()
        self._clock = clock
        self._random = random.Random(seed)
        self._progress_ms = progress_ms
        self._stale: Snapshot | None = None
        self._watches: set[Request] = set()
        # A new process is a new cluster, whose revisions begin anew.
        self._cluster_id = str(random.SystemRandom().getrandbits(62))

    def routes(self) -> dict[tuple[str, str], Callable[[Request], Answer]]:
        """Return the handlers by method and path."""
        return {
            ("POST", "/v3/kv/range"): self._guard("range", self._range),
            ("POST", "/v3/kv/put"): self._guard("put", self._put),
            ("POST", "/v3/kv/deleterange"): self._guard("delete", self._delete),
            ("POST", "/v3/kv/txn"): self._guard("txn", self._txn),
            ("POST", "/v3/lease/grant"): self._guard("grant", self._grant),
            ("POST", "/v3/lease/revoke"): self._guard("revoke", self._revoke),
            ("POST", "/v3/lease/keepalive"): self._guard("renew", self._renew),
            ("POST", "/v3/watch"): self._watch,
            ("POST", "/_control"): self._set_control,
            ("GET", "/_record"): self._show_counts,
        }

    def keep_leases(self) -> None:
        """End lapsed leases for ever; run it in a green thread."""
        while True:
            eventlet.sleep(LAPSE_INTERVAL_S)
            if self.control.mode in ("up", "slow"):
                self.state.lapse(self._clock.now_ms())

    def _header(self, revision: int) -> dict[str, str]:
        return {
            "cluster_id": self._cluster_id,
            "member_id": "1",
            "revision": str(revision),
            "raft_term": "2",
        }

    def _is_let_in(self, request: Request) -> bool:
        """Wait as the mode demands; tell whether the call is carried out."""
        if self.control.mode == "slow":
            eventlet.sleep(self.control.delay_ms / 1000.0)
        if self.control.mode == "silent":
            self._wait_for_other_mode(request)
            return False
        return self.control.mode != "down"

    def _wait_for_other_mode(self, request: Request) -> None:
        while self.control.mode == "silent" and not request.is_abandoned():
            eventlet.sleep(LAPSE_INTERVAL_S)

    def _guard(
        self, kind: str, call: Callable[[dict], dict]
    ) -> Callable[[Request], Answer]:
        """Return the handler of a call, with faults, counts and typed errors."""

        def handle(request: Request) -> Answer:
            if not self._is_let_in(request):
                self.calls["dropped"] += 1
                return answer_dropped()
            self.calls[kind] += 1
            self.bytes_in[kind] += len(request.body)
            old_size = self._size()
            answer = self._answer(call, request)
            has_changed = self._size() != old_size
            if has_changed and self._random.random() < self.control.lose_answers:
                self.calls["lost_answers"] += 1
                return answer_dropped()
            self.bytes_out[kind] += len(answer.body)
            return answer

        return handle

    def _size(self) -> tuple[int, int]:
        """Return what differs after every call that changes something."""
        return self.state.current.revision, len(self.state.leases)

    def _answer(self, call: Callable[[dict], dict], request: Request) -> Answer:
        try:
            return answer_json(call(request.json()))
        except StateError as error:
            problem = {
                "error": error.problem,
                "message": error.problem,
                "code": error.code,
            }
            return answer_json(problem, error.status)

    def _range_of(self, snapshot: Snapshot, body: dict) -> dict[str, object]:
        key = _read_bytes(body, "key")
        records = snapshot.range(key, _read_bytes(body, "range_end"))
        shown: dict[str, object] = {"header": self._header(snapshot.revision)}
        if records:
            shown["kvs"] = [_show_record(record) for record in records]
            shown["count"] = str(len(records))
        return shown

    def _range(self, body: dict) -> dict[str, object]:
        return self._range_of(self._stale or self.state.current, body)

    def _put(self, body: dict) -> dict[str, object]:
        self._apply_put(body)
        self.state.commit()
        return {"header": self._header(self.state.current.revision)}

    def _apply_put(self, body: dict) -> None:
        key = _read_bytes(body, "key")
        if not key:
            raise StateError("etcdserver: key is not provided", 3, 400)
        self.state.put(key, _read_bytes(body, "value"), _read_int(body, "lease"))

    def _delete(self, body: dict) -> dict[str, object]:
        deleted = self._apply_delete(body)
        self.state.commit()
        shown: dict[str, object] = {"header": self._header(self.state.current.revision)}
        if deleted:
            shown["deleted"] = str(deleted)
        return shown

    def _apply_delete(self, body: dict) -> int:
        key = _read_bytes(body, "key")
        return self.state.delete(key, _read_bytes(body, "range_end"))

    def _holds(self, compare: dict) -> bool:
        target = _field(compare, "target", "VERSION")
        result = _field(compare, "result", "EQUAL")
        if target not in _COMPARE_FIELDS or result not in _COMPARE_RESULTS:
            raise _malformed(f"compare of {target} by {result} is not supported")
        name = _COMPARE_FIELDS[target]
        records = self.state.current.range(_read_bytes(compare, "key"), b"")
        found = getattr(records[0], name) if records else 0
        return _COMPARE_RESULTS[result](found, _read_int(compare, name))

    def _txn(self, body: dict) -> dict[str, object]:
        compares = _field(body, "compare", [])
        branches = {name: _field(body, name, []) for name in ("success", "failure")}
        self._check_operations(branches["success"])
        self._check_operations(branches["failure"])
        succeeded = all(self._holds(compare) for compare in compares)
        operations = branches["success" if succeeded else "failure"]
        responses = [self._apply_operation(operation) for operation in operations]
        self.state.commit()
        shown: dict[str, object] = {"header": self._header(self.state.current.revision)}
        if succeeded:
            shown["succeeded"] = True
        if responses:
            shown["responses"] = responses
        return shown

    def _check_operations(self, operations: list) -> None:
        """Refuse a whole transaction before any part of it takes effect."""
        keys = []
        for operation in operations:
            put = _field(operation, "request_put")
            if put is None:
                continue
            keys.append(_read_bytes(put, "key"))
            _read_bytes(put, "value")
            lease = _read_int(put, "lease")
            if lease and lease not in self.state.leases:
                raise StateError("etcdserver: requested lease not found", 5, 404)
        if len(set(keys)) < len(keys):
            raise StateError("etcdserver: duplicate key given in txn request", 3, 400)

    def _apply_operation(self, operation: dict) -> dict[str, object]:
        put = _field(operation, "request_put")
        if put is not None:
            self._apply_put(put)
            return {"response_put": {}}
        span = _field(operation, "request_range")
        if span is not None:
            return {"response_range": self._range_of(self.state.current, span)}
        deletion = _field(operation, "request_delete_range")
        if deletion is None:
            raise _malformed("operation that is no put, range or delete")
        deleted = self._apply_delete(deletion)
        return {"response_delete_range": {"deleted": str(deleted)}}

    def _grant(self, body: dict) -> dict[str, object]:
        seconds = _read_int(body, "TTL")
        if seconds < 1:
            raise StateError("etcdserver: too small lease TTL", 11, 400)
        lease = _read_int(body, "ID") or self._random.getrandbits(62)
        self.state.grant(lease, seconds * 1000.0, self._clock.now_ms())
        header = self._header(self.state.current.revision)
        return {"header": header, "ID": str(lease), "TTL": str(seconds)}

    def _renew(self, body: dict) -> dict[str, object]:
        lease = _read_int(body, "ID")
        ttl_ms = self.state.renew(lease, self._clock.now_ms())
        header = self._header(self.state.current.revision)
        shown: dict[str, object] = {"header": header, "ID": str(lease)}
        if ttl_ms:
            shown["TTL"] = str(int(ttl_ms / 1000.0))
        return {"result": shown}

    def _revoke(self, body: dict) -> dict[str, object]:
        self.state.revoke(_read_int(body, "ID"))
        return {"header": self._header(self.state.current.revision)}

    def _watch(self, request: Request) -> Answer:
        if not self._is_let_in(request):
            self.calls["dropped"] += 1
            return answer_dropped()
        create = _field(request.json(), "create_request")
        if type(create) is not dict:
            raise _malformed("watch without create_request")
        self.calls["watch"] += 1
        self.bytes_in["watch"] += len(request.body)
        lines = self._watch_lines(request, create)
        return Answer(200, lines, {"Content-Type": "application/json"})

    def _line(self, result: dict) -> bytes:
        line = json.dumps({"result": result}, separators=(",", ":")).encode() + b"\n"
        self.bytes_out["watch"] += len(line)
        return line

    def _event_line(self, changes: list[KeyRecord]) -> bytes:
        return self._line(
            {
                "header": self._header(changes[-1].mod_revision),
                "events": [_show_event(change) for change in changes],
            }
        )

    def _watch_lines(self, request: Request, create: dict) -> Iterator[bytes]:
        first, range_end = (_read_bytes(create, name) for name in ("key", "range_end"))
        start = _read_int(create, "start_revision")
        has_progress = bool(_field(create, "progress_notify", False))
        commits = eventlet.queue.LightQueue()
        # History and subscription are taken in one step: nothing is lost in between.
        self.state.subscribe(commits.put)
        if start:
            commits.put([r for r in self.state.history if r.mod_revision >= start])
        self._watches.add(request)
        revision = self.state.current.revision
        try:
            yield self._line({"header": self._header(revision), "created": True})
            sent_ms = self._clock.now_ms()
            while not request.is_abandoned():
                wanted = self._next_changes(commits, first, range_end)
                self._wait_for_other_mode(request)
                now_ms = self._clock.now_ms()
                if wanted:
                    yield self._event_line(wanted)
                    sent_ms = now_ms
                elif has_progress and now_ms - sent_ms >= self._progress_ms:
                    revision = self.state.current.revision
                    yield self._line({"header": self._header(revision)})
                    sent_ms = now_ms
        finally:
            self.state.unsubscribe(commits.put)
            self._watches.discard(request)

    @staticmethod
    def _next_changes(
        commits: eventlet.queue.LightQueue, first: bytes, range_end: bytes
    ) -> list[KeyRecord]:
        try:
            changes = commits.get(timeout=WATCH_POLL_S)
        except eventlet.queue.Empty:
            return []
        return [item for item in changes if _is_in_range(item.key, first, range_end)]

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
            self._stale = self.state.snapshot() if body["stale_reads"] else None
        self._change_mode(old_mode)
        return answer_json(asdict(self.control))

    def _change_mode(self, old_mode: str) -> None:
        if old_mode in ("down", "silent") and self.control.mode in ("up", "slow"):
            self.state.extend_all(self._clock.now_ms())
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
        seed: Seed of the choice of answers that are lost.
        progress_ms: Interval of progress notifications to watches that want them.
    """
    service = KeyValue(Clock(), seed, progress_ms)
    eventlet.spawn(service.keep_leases)
    serve(make_app(service.routes()), port)


if __name__ == "__main__":
    run(main)
