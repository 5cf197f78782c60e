"""Decodes and validates JSON objects from other processes."""

from __future__ import annotations

from dataclasses import fields
from typing import TypeVar, get_type_hints

from lagoonsail_core.errors import LagoonsailError

T = TypeVar("T")

_ACCEPTED_TYPES = {str: (str,), int: (int,), float: (int, float), bool: (bool,)}


class RecordError(LagoonsailError):
    """A JSON object does not have the expected fields and types."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem, "use a router and a lagoonctl of the same version")


def get_map(source: dict, name: str, value_type: type | None = None) -> dict:
    """Return a field that must be a JSON object.

    Args:
        source: The object that contains the field.
        name: Name of the field.
        value_type: Type that all values in the field must have, or None for any.

    Returns:
        The field.

    Raises:
        RecordError: If the field is missing or has another type.
    """
    value = source.get(name)
    if type(value) is not dict:
        raise RecordError(f"the answer has no JSON object {name}")
    if value_type and any(type(item) is not value_type for item in value.values()):
        raise RecordError(f"the answer has a value of an unexpected type in {name}")
    return value


def decode_record(record_type: type[T], source: object, **decoded_fields: object) -> T:
    """Decode a JSON object into a dataclass with fields of simple types.

    Args:
        record_type: The dataclass; its fields are str, int, float or bool.
        source: Decoded JSON; unknown fields are ignored.
        **decoded_fields: Values of fields that the caller has already decoded.

    Returns:
        The instance.

    Raises:
        RecordError: If a field is missing or has another type.
    """
    if type(source) is not dict:
        raise RecordError(f"{record_type.__name__} is not a JSON object")
    hints = get_type_hints(record_type)
    values = dict(decoded_fields)
    for item in fields(record_type):
        if item.name in decoded_fields:
            continue
        value = source.get(item.name)
        if type(value) not in _ACCEPTED_TYPES[hints[item.name]]:
            raise RecordError(f"{record_type.__name__} has no valid field {item.name}")
        values[item.name] = value
    return record_type(**values)
