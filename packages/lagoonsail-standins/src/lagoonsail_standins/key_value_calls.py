"""Calls of the key-value service, answered as the etcd v3 JSON gateway does."""

from __future__ import annotations

import operator
import random
from typing import TYPE_CHECKING

from lagoonsail_standins.gateway_fields import (
    encode_record,
    field,
    malformed,
    read_bytes,
    read_int,
)
from lagoonsail_standins.key_value_state import KeyValueState, Snapshot, StateError

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock

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


class KeyValueCalls:
    """Decodes calls, applies them to the state and encodes the results."""

    __slots__ = ("_clock", "_cluster_id", "_random", "_state", "stale_snapshot")

    stale_snapshot: Snapshot | None
    """Snapshot that range calls are answered from; None for the current state."""

    def __init__(
        self, state: KeyValueState, clock: Clock, random_source: random.Random
    ) -> None:
        self.stale_snapshot = None
        self._state = state
        self._clock = clock
        self._random = random_source
        # Each process is a new cluster, because its revisions restart from 1.
        self._cluster_id = str(random.SystemRandom().getrandbits(62))

    def header(self, revision: int) -> dict[str, str]:
        """Return the header of every answer."""
        return {
            "cluster_id": self._cluster_id,
            "member_id": "1",
            "revision": str(revision),
            "raft_term": "2",
        }

    def _encode_range(self, snapshot: Snapshot, body: dict) -> dict[str, object]:
        key = read_bytes(body, "key")
        records = snapshot.range(key, read_bytes(body, "range_end"))
        result: dict[str, object] = {"header": self.header(snapshot.revision)}
        if records:
            result["kvs"] = [encode_record(record) for record in records]
            result["count"] = str(len(records))
        return result

    def range(self, body: dict) -> dict[str, object]:
        """Return the keys of a range."""
        return self._encode_range(self.stale_snapshot or self._state.current, body)

    def put(self, body: dict) -> dict[str, object]:
        """Write a key."""
        self._apply_put(body)
        self._state.commit()
        return {"header": self.header(self._state.current.revision)}

    def _apply_put(self, body: dict) -> None:
        key = read_bytes(body, "key")
        if not key:
            raise StateError("etcdserver: key is not provided", 3, 400)
        self._state.put(key, read_bytes(body, "value"), read_int(body, "lease"))

    def delete(self, body: dict) -> dict[str, object]:
        """Delete the keys of a range."""
        deleted = self._apply_delete(body)
        self._state.commit()
        result: dict[str, object] = {
            "header": self.header(self._state.current.revision)
        }
        if deleted:
            result["deleted"] = str(deleted)
        return result

    def _apply_delete(self, body: dict) -> int:
        key = read_bytes(body, "key")
        return self._state.delete(key, read_bytes(body, "range_end"))

    def _is_compare_true(self, compare: dict) -> bool:
        target = field(compare, "target", "VERSION")
        result = field(compare, "result", "EQUAL")
        if target not in _COMPARE_FIELDS or result not in _COMPARE_RESULTS:
            raise malformed(f"compare of {target} by {result} is not supported")
        name = _COMPARE_FIELDS[target]
        records = self._state.current.range(read_bytes(compare, "key"), b"")
        actual = getattr(records[0], name) if records else 0
        return _COMPARE_RESULTS[result](actual, read_int(compare, name))

    def txn(self, body: dict) -> dict[str, object]:
        """Run the branch of a transaction that its comparisons select."""
        compares = field(body, "compare", [])
        branches = {name: field(body, name, []) for name in ("success", "failure")}
        self._check_operations(branches["success"])
        self._check_operations(branches["failure"])
        succeeded = all(self._is_compare_true(compare) for compare in compares)
        operations = branches["success" if succeeded else "failure"]
        responses = [self._apply_operation(operation) for operation in operations]
        self._state.commit()
        result: dict[str, object] = {
            "header": self.header(self._state.current.revision)
        }
        if succeeded:
            result["succeeded"] = True
        if responses:
            result["responses"] = responses
        return result

    def _check_operations(self, operations: list) -> None:
        """Refuse a transaction with invalid puts before any of it takes effect."""
        keys = []
        for operation in operations:
            put = field(operation, "request_put")
            if put is None:
                continue
            keys.append(read_bytes(put, "key"))
            read_bytes(put, "value")
            lease = read_int(put, "lease")
            if lease and lease not in self._state.leases:
                raise StateError("etcdserver: requested lease not found", 5, 404)
        if len(set(keys)) < len(keys):
            raise StateError("etcdserver: duplicate key given in txn request", 3, 400)

    def _apply_operation(self, operation: dict) -> dict[str, object]:
        put = field(operation, "request_put")
        if put is not None:
            self._apply_put(put)
            return {"response_put": {}}
        range_request = field(operation, "request_range")
        if range_request is not None:
            return {
                "response_range": self._encode_range(self._state.current, range_request)
            }
        deletion = field(operation, "request_delete_range")
        if deletion is None:
            raise malformed("operation that is no put, range or delete")
        deleted = self._apply_delete(deletion)
        return {"response_delete_range": {"deleted": str(deleted)}}

    def grant(self, body: dict) -> dict[str, object]:
        """Grant a lease."""
        seconds = read_int(body, "TTL")
        if seconds < 1:
            raise StateError("etcdserver: too small lease TTL", 11, 400)
        lease = read_int(body, "ID") or self._random.getrandbits(62)
        self._state.grant(lease, seconds * 1000.0, self._clock.now_ms())
        header = self.header(self._state.current.revision)
        return {"header": header, "ID": str(lease), "TTL": str(seconds)}

    def renew(self, body: dict) -> dict[str, object]:
        """Renew a lease."""
        lease = read_int(body, "ID")
        ttl_ms = self._state.renew(lease, self._clock.now_ms())
        header = self.header(self._state.current.revision)
        result: dict[str, object] = {"header": header, "ID": str(lease)}
        if ttl_ms:
            result["TTL"] = str(int(ttl_ms / 1000.0))
        return {"result": result}

    def revoke(self, body: dict) -> dict[str, object]:
        """Revoke a lease."""
        self._state.revoke(read_int(body, "ID"))
        return {"header": self.header(self._state.current.revision)}
