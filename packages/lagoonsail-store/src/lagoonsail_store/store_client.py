"""Client of the key-value service."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from lagoonsail_core.invariants import require
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_store.endpoints import DECODE_ERRORS, CallResult, Endpoints
from lagoonsail_store.entries import (
    Absent,
    Conflict,
    Entry,
    Listing,
    WatchBatch,
    Write,
    Written,
)
from lagoonsail_store.gateway_json import (
    delete_operation,
    encode_prefix_end,
    encode_text,
    put_operation,
    range_operation,
    read_entries,
    read_event,
    require_revision,
)

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Iterator

    from lagoonsail_core.clock import Clock

__all__ = [
    "Absent",
    "Conflict",
    "Entry",
    "Listing",
    "StoreClient",
    "WatchBatch",
    "Write",
    "Written",
]

IDLE_MS = 10_000.0
"""Idle timeout of a watch."""

_CODE_NOT_FOUND = 5
_CODE_PRECONDITION = 9


class StoreClient:
    """Client of the key-value service; calls end within the timeout and never raise.

    Every call is idempotent, so that it is retried after a lost answer: writes name the
    revision that they replace.

    An answer with an older revision than an earlier answer is rejected as stale.
    """

    __slots__ = (
        "_clock",
        "_cluster_id",
        "_endpoints",
        "_newest_revision",
        "_random",
        "_timeout_ms",
    )

    def __init__(self, endpoints: list[str], timeout_ms: float, clock: Clock) -> None:
        self._clock = clock
        self._endpoints = Endpoints(endpoints, clock)
        self._timeout_ms = timeout_ms
        self._random = random.SystemRandom()
        # Revisions of different clusters, such as after a restore, are not comparable.
        self._cluster_id = ""
        self._newest_revision = 0

    @property
    def counters(self) -> Counter:
        """Calls by `(kind, result)`; body bytes under `("bytes", "in"|"out")`."""
        return self._endpoints.counters

    def get(self, key: str) -> Entry | Absent | Unavailable:
        """Read a key.

        Args:
            key: The key.

        Returns:
            Its entry, Absent if there is none, or Unavailable.
        """
        body = {"key": encode_text(key)}
        result = self._read("get", body)
        if isinstance(result, Unavailable):
            return result
        entries = result.entries
        return entries[0] if entries else Absent(key)

    def list(self, prefix: str) -> Listing | Unavailable:
        """Read all keys that begin with a prefix, at one revision.

        Args:
            prefix: The prefix.

        Returns:
            The entries sorted by key, or Unavailable.
        """
        body = {"key": encode_text(prefix), "range_end": encode_prefix_end(prefix)}
        return self._read("list", body)

    def put_if(
        self,
        key: str,
        value: str,
        expected_revision: int,
        lease: int = 0,
        token: str = "",
    ) -> Written | Conflict | Unavailable:
        """Write a key if its revision is the expected one.

        Args:
            key: The key.
            value: The value. After a lost answer the stored value is compared with it,
                so it should be unique to the writer.
            expected_revision: Revision that the key must have; 0 if it must not exist.
            lease: Lease to attach the key to, or 0.
            token: The writer's token, which the value must contain; may be empty.

        Returns:
            Written, Conflict with the newer entry, or Unavailable: then the write may
            still be executed.
        """
        require(token in value, "write_carries_token", f"{key} without {token}")
        write = Write(key, value, expected_revision, lease)
        return self._write("put", [write])

    def put_all_if(self, writes: list[Write]) -> Written | Conflict | Unavailable:
        """Write several keys atomically if all have the expected revisions.

        Args:
            writes: At most 128 writes of different keys.

        Returns:
            Written, Conflict with the first newer entry, or Unavailable: then all
            writes may still be executed.
        """
        return self._write("put_all", writes)

    def delete(
        self, key: str, expected_revision: int | None = None
    ) -> Written | Conflict | Unavailable:
        """Delete a key.

        Args:
            key: The key.
            expected_revision: Required revision of the key; None for its current
                revision.

        Returns:
            Written, even if the key did not exist; Conflict with the newer entry, or
            Unavailable: then the key may still be deleted.
        """
        deadline_ms = self._clock.now_ms() + self._timeout_ms
        if expected_revision is None:
            entry = self.get(key)
            if isinstance(entry, Unavailable):
                return entry
            if isinstance(entry, Absent):
                return Written(self._newest_revision)
            expected_revision = entry.revision
        body = {
            "compare": [require_revision(key, expected_revision)],
            "success": [delete_operation(key)],
            "failure": [range_operation(key)],
        }
        remaining_ms = deadline_ms - self._clock.now_ms()
        return self._call(
            "delete", "/v3/kv/txn", body, _read_deletion, timeout_ms=remaining_ms
        )

    def grant_lease(self, ttl_ms: float) -> int | Unavailable:
        """Grant a lease.

        Args:
            ttl_ms: Time to live, rounded up to whole seconds.

        Returns:
            The ID of the lease, or Unavailable. A lease that was granted with a lost
            answer expires unused.
        """
        # With a client-chosen ID, a retry after a lost answer finds the lease.
        lease = self._random.getrandbits(62) | 1
        seconds = max(1, math.ceil(ttl_ms / 1000.0))
        body = {"TTL": str(seconds), "ID": str(lease)}

        def parse(result: CallResult) -> int | Unavailable:
            if result.body.get("code") == _CODE_PRECONDITION and result.in_doubt:
                return lease
            return int(result.body["ID"]) if _is_ok(result) else _refusal(result)

        return self._call("grant", "/v3/lease/grant", body, parse)

    def renew_lease(self, lease: int) -> float | Unavailable:
        """Renew a lease.

        Args:
            lease: The lease.

        Returns:
            Remaining milliseconds, counted from the start of this call at the latest;
            0.0 if the lease has expired.
        """

        def parse(result: CallResult) -> float | Unavailable:
            if not _is_ok(result):
                return _refusal(result)
            return float(result.body["result"].get("TTL", 0)) * 1000.0

        return self._call("renew", "/v3/lease/keepalive", {"ID": str(lease)}, parse)

    def revoke_lease(self, lease: int) -> None | Unavailable:
        """Revoke a lease, which deletes its keys.

        Args:
            lease: The lease; an expired one is not an error.

        Returns:
            None, or Unavailable.
        """

        def parse(result: CallResult) -> None | Unavailable:
            if _is_ok(result) or result.body.get("code") == _CODE_NOT_FOUND:
                return None
            return _refusal(result)

        return self._call("revoke", "/v3/lease/revoke", {"ID": str(lease)}, parse)

    def watch(
        self, prefix: str, from_revision: int, idle_ms: float = IDLE_MS
    ) -> Iterator[WatchBatch]:
        """Yield the changes under a prefix until the first error.

        Args:
            prefix: The prefix.
            from_revision: First revision to deliver: that of a listing plus one.
            idle_ms: Idle timeout in milliseconds. The service is asked for progress
                notifications, which reset it.

        Yields:
            Batches of changes; list again after the end.
        """
        create = {
            "key": encode_text(prefix),
            "range_end": encode_prefix_end(prefix),
            "start_revision": str(from_revision),
            "progress_notify": True,
        }
        lines = self._endpoints.stream(
            "/v3/watch", {"create_request": create}, self._timeout_ms, idle_ms
        )
        self.counters["watch", "opened"] += 1
        try:
            for line in lines:
                batch = self._read_batch(line)
                if batch is None:
                    return
                if batch.entries:
                    yield batch
        except DECODE_ERRORS:
            self.counters["watch", "malformed"] += 1
        finally:
            lines.close()
            self.counters["watch", "ended"] += 1

    def _read_batch(self, line: dict) -> WatchBatch | None:
        result = line.get("result")
        if result is None or result.get("canceled"):
            return None
        entries = [read_event(event) for event in result.get("events", [])]
        # Not the header's revision, which may be newer than undelivered changes.
        revision = max((entry.revision for entry in entries), default=0)
        self._observe_revision(result["header"]["cluster_id"], revision)
        return WatchBatch(revision, entries)

    def _observe_revision(self, cluster_id: str, revision: int) -> None:
        if cluster_id != self._cluster_id:
            self._cluster_id = cluster_id
            self._newest_revision = 0
        self._newest_revision = max(self._newest_revision, revision)

    def _read(self, kind: str, body: dict) -> Listing | Unavailable:
        cluster_id, min_revision = self._cluster_id, self._newest_revision

        def validate(answer: dict) -> str:
            try:
                header = answer["header"]
                revision = int(header["revision"])
                is_same_cluster = header["cluster_id"] == cluster_id
            except DECODE_ERRORS:
                return "answer without a header"
            if not is_same_cluster or revision >= min_revision:
                return ""
            self.counters[kind, "stale"] += 1
            return f"answer of revision {revision}, {min_revision} was seen before"

        def parse(result: CallResult) -> Listing | Unavailable:
            if not _is_ok(result):
                return _refusal(result)
            revision = int(result.body["header"]["revision"])
            return Listing(revision, read_entries(result.body))

        return self._call(kind, "/v3/kv/range", body, parse, validate)

    def _write(
        self, kind: str, writes: list[Write]
    ) -> Written | Conflict | Unavailable:
        body = {
            "compare": [require_revision(w.key, w.expected_revision) for w in writes],
            "success": [put_operation(write) for write in writes],
            "failure": [range_operation(write.key) for write in writes],
        }

        def parse(result: CallResult) -> Written | Conflict | Unavailable:
            return _read_write(writes, result)

        return self._call(kind, "/v3/kv/txn", body, parse)

    def _call(
        self,
        kind: str,
        path: str,
        body: dict,
        parse: Callable,
        validate: Callable[[dict], str] | None = None,
        timeout_ms: float | None = None,
    ) -> object:
        """Make a call and parse its answer; a malformed answer is Unavailable."""
        if timeout_ms is None:
            timeout_ms = self._timeout_ms
        result = self._endpoints.call(kind, path, body, timeout_ms, validate)
        if isinstance(result, Unavailable):
            return result
        try:
            value = parse(result)
            if _is_ok(result):
                # A streaming answer has its header inside the result.
                header = result.body.get("result", result.body)["header"]
                self._observe_revision(header["cluster_id"], int(header["revision"]))
        except DECODE_ERRORS as error:
            value = Unavailable(f"key-value service: malformed answer ({error!r})")
        outcome = type(value).__name__.lower()
        known = outcome in ("conflict", "unavailable")
        self.counters[kind, outcome if known else "ok"] += 1
        return value


def _is_ok(result: CallResult) -> bool:
    return result.status == 200


def _refusal(result: CallResult) -> Unavailable:
    problem = result.body.get("message", result.body.get("error", "no reason given"))
    return Unavailable(f"key-value service refused: {problem}")


def _read_deletion(result: CallResult) -> Written | Conflict | Unavailable:
    if not _is_ok(result):
        return _refusal(result)
    revision = int(result.body["header"]["revision"])
    if result.body.get("succeeded"):
        return Written(revision)
    entries = read_entries(result.body["responses"][0]["response_range"])
    return Conflict(entries[0], result.in_doubt) if entries else Written(revision)


def _read_write(
    writes: list[Write], result: CallResult
) -> Written | Conflict | Unavailable:
    if not _is_ok(result):
        return _refusal(result)
    if result.body.get("succeeded"):
        return Written(int(result.body["header"]["revision"]))
    stored = [
        next(iter(read_entries(response["response_range"])), None)
        for response in result.body["responses"]
    ]
    if result.in_doubt and _match_earlier_attempt(writes, stored):
        return Written(max(entry.revision for entry in stored))
    for write, entry in zip(writes, stored, strict=True):
        if (entry.revision if entry else 0) != write.expected_revision:
            return Conflict(entry, result.in_doubt)
    return Unavailable("key-value service: conflict without a newer entry")


def _match_earlier_attempt(writes: list[Write], stored: list[Entry | None]) -> bool:
    """Return whether the stored entries were written by an earlier attempt."""
    return all(
        entry is not None
        and entry.value == write.value
        and entry.revision != write.expected_revision
        for write, entry in zip(writes, stored, strict=True)
    )
