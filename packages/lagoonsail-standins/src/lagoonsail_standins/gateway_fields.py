"""Fields of the etcd v3 JSON gateway, read and shown as protobuf JSON."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING

from lagoonsail_standins.serving import MalformedRequestError

if TYPE_CHECKING:
    from lagoonsail_standins.key_value_state import KeyRecord


def malformed(problem: str) -> MalformedRequestError:
    """Return the error of a request that the gateway does not understand."""
    return MalformedRequestError(problem, "see the etcd v3 JSON gateway")


def _camel_case(name: str) -> str:
    first, *others = name.split("_")
    return first + "".join(part.capitalize() for part in others)


def field(source: dict, name: str, default: object = None) -> object:
    """Return a field under either of the spellings that protobuf JSON accepts."""
    return source.get(name, source.get(_camel_case(name), default))


def read_bytes(source: dict, name: str) -> bytes:
    """Return a field of bytes, empty if it is missing.

    Raises:
        MalformedRequestError: If it is not base64.
    """
    try:
        return base64.b64decode(field(source, name, ""), validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise malformed(f"{name} is not base64") from error


def read_int(source: dict, name: str) -> int:
    """Return a field of a whole number, 0 if it is missing.

    Raises:
        MalformedRequestError: If it is not a number.
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


def show_record(record: KeyRecord) -> dict[str, str]:
    """Return a record as protobuf JSON, which leaves out zeros and empty values."""
    numbers = ("create_revision", "mod_revision", "version", "lease")
    shown = {"key": _encode(record.key)}
    shown.update(
        (name, str(getattr(record, name))) for name in numbers if getattr(record, name)
    )
    if record.value:
        shown["value"] = _encode(record.value)
    return shown


def show_event(record: KeyRecord) -> dict[str, object]:
    """Return a change as protobuf JSON."""
    if record.version == 0:
        return {"type": "DELETE", "kv": show_record(record)}
    return {"kv": show_record(record)}


def is_in_range(key: bytes, first: bytes, range_end: bytes) -> bool:
    """Return whether a key is in a range as etcd writes it."""
    if not range_end:
        return key == first
    if range_end == b"\0":
        return key >= first
    return first <= key < range_end
