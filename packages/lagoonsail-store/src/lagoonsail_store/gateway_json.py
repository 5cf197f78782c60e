"""The JSON of the etcd v3 gateway: base64 for bytes, strings for 64-bit integers."""

from __future__ import annotations

import base64
import json

from lagoonsail_store.entries import Entry, Write


def encode_text(text: str) -> str:
    """Return a key or value as the gateway wants it.

    Args:
        text: Any text; surrogate escapes become the bytes that they stand for.

    Returns:
        The base64 form of its UTF-8 form.
    """
    return base64.b64encode(text.encode("utf-8", "surrogateescape")).decode()


def decode_text(encoded: str) -> str:
    """Return the text of a key or value.

    Args:
        encoded: Base64 form.

    Returns:
        The text; other bytes than UTF-8 appear as surrogate escapes.

    Raises:
        ValueError: If it is not base64.

    Example:
        >>> decode_text(encode_text("año"))
        'año'
    """
    return base64.b64decode(encoded, validate=True).decode("utf-8", "surrogateescape")


def encode_prefix_end(prefix: str) -> str:
    """Return the end of the span of all keys that begin with a prefix.

    Args:
        prefix: The prefix; empty for all keys.

    Returns:
        The base64 form of the first key after the span.

    Example:
        >>> encode_prefix_end("a") == encode_text("b")
        True
    """
    data = prefix.encode("utf-8", "surrogateescape").rstrip(b"\xff")
    if not data:
        return base64.b64encode(b"\0").decode()
    return base64.b64encode(data[:-1] + bytes([data[-1] + 1])).decode()


def encode_body(body: dict) -> bytes:
    """Return the body of a call."""
    return json.dumps(body, separators=(",", ":")).encode()


def decode_object(data: bytes) -> dict:
    """Return the JSON object of an answer.

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
    """Return the entry for a key-value pair of an answer.

    Args:
        pair: The pair; fields that are zero or empty are left out.
        deleted: Whether the pair tells of a deletion.

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


def read_entries(span: dict) -> list[Entry]:
    """Return the entries of an answer to a range."""
    return [read_entry(pair) for pair in span.get("kvs", [])]


def read_event(event: dict) -> Entry:
    """Return the entry for an event of a watch."""
    return read_entry(event["kv"], event.get("type", "PUT") == "DELETE")


def require_revision(key: str, revision: int) -> dict:
    """Return the condition that a key has a revision, 0 if it must not exist."""
    return {
        "key": encode_text(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(revision),
    }


def put_operation(write: Write) -> dict:
    """Return the operation of a transaction that writes a key."""
    put = {"key": encode_text(write.key), "value": encode_text(write.value)}
    if write.lease:
        put["lease"] = str(write.lease)
    return {"request_put": put}


def range_operation(key: str) -> dict:
    """Return the operation of a transaction that reads a key."""
    return {"request_range": {"key": encode_text(key)}}


def delete_operation(key: str) -> dict:
    """Return the operation of a transaction that deletes a key."""
    return {"request_delete_range": {"key": encode_text(key)}}
