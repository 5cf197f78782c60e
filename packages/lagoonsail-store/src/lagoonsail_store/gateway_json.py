"""JSON encoding of the etcd v3 gateway: bytes as base64, 64-bit integers as text."""

from __future__ import annotations

import base64
import json

from lagoonsail_store.entries import Entry, Write


def encode_text(text: str) -> str:
    """Encode a key or value for the gateway.

    Args:
        text: Any text; surrogate escapes are turned back into bytes.

    Returns:
        The base64 encoding of its UTF-8 bytes.
    """
    return base64.b64encode(text.encode("utf-8", "surrogateescape")).decode()


def decode_text(encoded: str) -> str:
    """Decode a key or value.

    Args:
        encoded: Base64 text.

    Returns:
        The text; bytes that are not UTF-8 become surrogate escapes.

    Raises:
        ValueError: If it is not base64.

    Example:
        >>> decode_text(encode_text("año"))
        'año'
    """
    return base64.b64decode(encoded, validate=True).decode("utf-8", "surrogateescape")


def encode_prefix_end(prefix: str) -> str:
    """Return the exclusive end of the range of keys that begin with a prefix.

    Args:
        prefix: The prefix; empty for all keys.

    Returns:
        The base64 encoding of the first key after the range.

    Example:
        >>> encode_prefix_end("a") == encode_text("b")
        True
    """
    data = prefix.encode("utf-8", "surrogateescape").rstrip(b"\xff")
    if not data:
        return base64.b64encode(b"\0").decode()
    return base64.b64encode(data[:-1] + bytes([data[-1] + 1])).decode()


def encode_body(body: dict) -> bytes:
    """Encode the body of a call as compact JSON."""
    return json.dumps(body, separators=(",", ":")).encode()


def decode_object(data: bytes) -> dict:
    """Decode the JSON object of an answer.

    Args:
        data: Body of the answer, or one line of it.

    Returns:
        The object.

    Raises:
        ValueError: If it is not a JSON object.
    """
    value = json.loads(data)
    if type(value) is not dict:
        raise ValueError("no JSON object")
    return value


def read_entry(pair: dict, deleted: bool = False) -> Entry:
    """Convert a key-value pair of an answer to an entry.

    Args:
        pair: The pair; the gateway omits fields that are zero or empty.
        deleted: Whether the pair is of a deletion event.

    Returns:
        The entry.

    Raises:
        ValueError: If a field is malformed.
    """
    return Entry(
        key=decode_text(pair["key"]),
        value=decode_text(pair.get("value", "")),
        revision=int(pair.get("mod_revision", 0)),
        lease=int(pair.get("lease", 0)),
        deleted=deleted,
    )


def read_entries(range_answer: dict) -> list[Entry]:
    """Return the entries of the answer to a range request."""
    return [read_entry(pair) for pair in range_answer.get("kvs", [])]


def read_event(event: dict) -> Entry:
    """Convert a watch event to an entry."""
    return read_entry(event["kv"], event.get("type", "PUT") == "DELETE")


def require_revision(key: str, revision: int) -> dict:
    """Return the comparison for a key's revision; 0 requires that it is absent."""
    return {
        "key": encode_text(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(revision),
    }


def put_operation(write: Write) -> dict:
    """Return the transaction operation that writes a key."""
    put = {"key": encode_text(write.key), "value": encode_text(write.value)}
    if write.lease:
        put["lease"] = str(write.lease)
    return {"request_put": put}


def range_operation(key: str) -> dict:
    """Return the transaction operation that reads a key."""
    return {"request_range": {"key": encode_text(key)}}


def delete_operation(key: str) -> dict:
    """Return the transaction operation that deletes a key."""
    return {"request_delete_range": {"key": encode_text(key)}}
