"""Decoding and encoding of etcd v3 JSON gateway fields as protobuf JSON."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING

from lagoonsail_standins.serving import MalformedRequestError

if TYPE_CHECKING:
    from lagoonsail_standins.key_value_state import KeyRecord


def malformed(problem: str) -> MalformedRequestError:
    """Return the error for a request that the gateway cannot decode."""
    return MalformedRequestError(problem, "see the etcd v3 JSON gateway")


def _camel_case(name: str) -> str:
    first, *others = name.split("_")
    return first + "".join(part.capitalize() for part in others)


def field(source: dict, name: str, default: object = None) -> object:
    """Return a field by its snake_case or camelCase name, as protobuf JSON allows."""
    return source.get(name, source.get(_camel_case(name), default))


def read_bytes(source: dict, name: str) -> bytes:
    """Return a bytes field, empty if it is missing.

    Raises:
        MalformedRequestError: If the value is not base64.
    """
    try:
        return base64.b64decode(field(source, name, ""), validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise malformed(f"{name} is not base64") from error


def read_int(source: dict, name: str) -> int:
    """Return an integer field, 0 if it is missing.

    Raises:
        MalformedRequestError: If the value is not an integer.
    """
    value = field(source, name, 0)
    if type(value) not in (int, str):
        raise malformed(f"{name} is not an int64")
    try:
        return int(value)
    except ValueError as error:
        raise malformed(f"{name} is not an int64") from error


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def encode_record(record: KeyRecord) -> dict[str, str]:
    """Return a record as protobuf JSON, which omits zeros and empty values."""
    number_fields = ("create_revision", "mod_revision", "version", "lease")
    encoded = {"key": _encode(record.key)}
    encoded.update(
        (name, str(getattr(record, name)))
        for name in number_fields
        if getattr(record, name)
    )
    if record.value:
        encoded["value"] = _encode(record.value)
    return encoded


def encode_event(record: KeyRecord) -> dict[str, object]:
    """Return a change as protobuf JSON."""
    if record.version == 0:
        return {"type": "DELETE", "kv": encode_record(record)}
    return {"kv": encode_record(record)}


def is_in_range(key: bytes, first_key: bytes, range_end: bytes) -> bool:
    """Return whether a key is in a range given in etcd's notation."""
    if not range_end:
        return key == first_key
    if range_end == b"\0":
        return key >= first_key
    return first_key <= key < range_end
