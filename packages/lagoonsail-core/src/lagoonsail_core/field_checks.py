"""Type checks for the fields of received messages, derived from type hints.

Example:
    >>> from lagoonsail_core.right_messages import PromiseRequest
    >>> (_, is_nonce), (_, is_duration) = make_checks(PromiseRequest)
    >>> is_nonce(3), is_nonce("3"), is_duration(2.5), is_duration(float("nan"))
    (True, False, True, False)
"""

from __future__ import annotations

from dataclasses import fields
from typing import TYPE_CHECKING, get_args, get_origin, get_type_hints

if TYPE_CHECKING:
    from collections.abc import Callable


def _is_finite_number(value: object) -> bool:
    # NaN and infinity would pass the comparisons that later code makes.
    return type(value) in (int, float) and abs(value) < 1e300


def _make_list_check(item_check: Callable[[object], bool]) -> Callable[[object], bool]:
    return lambda value: type(value) is list and all(map(item_check, value))


def _make_dict_check(
    key_check: Callable[[object], bool], value_check: Callable[[object], bool]
) -> Callable[[object], bool]:
    return lambda value: (
        type(value) is dict
        and all(map(key_check, value))
        and all(map(value_check, value.values()))
    )


def _make_check(hint: object) -> Callable[[object], bool]:
    """Return the check for a type hint; built once per field, run on every message."""
    if get_origin(hint) is list:
        return _make_list_check(_make_check(get_args(hint)[0]))
    if get_origin(hint) is dict:
        key_hint, value_hint = get_args(hint)
        return _make_dict_check(_make_check(key_hint), _make_check(value_hint))
    if hint is float:
        return _is_finite_number
    if hint is list:
        return lambda value: type(value) is list
    return lambda value: type(value) is hint


def make_checks(
    message_class: type,
) -> tuple[tuple[str, Callable[[object], bool]], ...]:
    """Return the checks of a message's fields, in field order.

    Args:
        message_class: A dataclass whose fields have type hints.

    Returns:
        Name and check of each field.
    """
    hints = get_type_hints(message_class)
    return tuple(
        (field.name, _make_check(hints[field.name])) for field in fields(message_class)
    )
