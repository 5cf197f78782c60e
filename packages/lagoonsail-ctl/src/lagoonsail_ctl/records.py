"""Checked decoding of JSON objects from other processes."""

from __future__ import annotations

from dataclasses import fields
from typing import TypeVar, get_type_hints

from lagoonsail_core.errors import LagoonsailError

T = TypeVar("T")

_ACCEPTED_TYPES = {str: (str,), int: (int,), float: (int, float), bool: (bool,)}


class RecordError(LagoonsailError):
    """A JSON object that is not of the expected form."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem, "use a router and a lagoonctl of the same version")


def take_map(source: dict, name: str, value_type: type | None = None) -> dict:
    """Return a field that must be a JSON object.

    Args:
        source: The surrounding object.
        name: Name of the field.
        value_type: Type that all its values must have, or None.

    Returns:
        The field.

    Raises:
        RecordError: If it is missing or of another form.
    """
    value = source.get(name)
    if type(value) is not dict:
        raise RecordError(f"answer without the map {name}")
    if value_type and any(type(item) is not value_type for item in value.values()):
        raise RecordError(f"answer with an unexpected value in {name}")
    return value


def decode_record(kind: type[T], source: object, **decoded: object) -> T:
    """Decode a JSON object into a dataclass whose fields are simple.

    Args:
        kind: The dataclass; its fields are str, int, float or bool.
        source: Decoded JSON; further fields in it are passed over.
        **decoded: Values of fields that the caller has decoded itself.

    Returns:
        The instance.

    Raises:
        RecordError: If a field is missing or of another type.
    """
    if type(source) is not dict:
        raise RecordError(f"{kind.__name__} that is not a map")
    hints = get_type_hints(kind)
    values = dict(decoded)
    for item in fields(kind):
        if item.name in decoded:
            continue
        value = source.get(item.name)
        if type(value) not in _ACCEPTED_TYPES[hints[item.name]]:
            raise RecordError(f"{kind.__name__} without a usable {item.name}")
        values[item.name] = value
    return kind(**values)
