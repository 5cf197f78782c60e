"""Checks of the fields of received messages, made from their type hints.

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


def _is_finite(value: object) -> bool:
    # NaN and infinity would pass every later comparison.
    return type(value) in (int, float) and abs(value) < 1e300


def _make_list_check(inner: Callable[[object], bool]) -> Callable[[object], bool]:
    return lambda value: type(value) is list and all(map(inner, value))


def _make_dict_check(
    key_check: Callable[[object], bool], value_check: Callable[[object], bool]
) -> Callable[[object], bool]:
    return lambda value: (
        type(value) is dict
        and all(map(key_check, value))
        and all(map(value_check, value.values()))
    )


def _make_check(hint: object) -> Callable[[object], bool]:
    """Return the check of a field; made once, since every message passes it."""
    if get_origin(hint) is list:
        return _make_list_check(_make_check(get_args(hint)[0]))
    if get_origin(hint) is dict:
        key_hint, value_hint = get_args(hint)
        return _make_dict_check(_make_check(key_hint), _make_check(value_hint))
    if hint is float:
        return _is_finite
    if hint is list:
        return lambda value: type(value) is list
    return lambda value: type(value) is hint


def make_checks(kind: type) -> tuple[tuple[str, Callable[[object], bool]], ...]:
    """Return the checks of a message's fields, in their order.

    Args:
        kind: A dataclass whose fields have type hints.

    Returns:
        Name and check of each field.
    """
    hints = get_type_hints(kind)
    return tuple((item.name, _make_check(hints[item.name])) for item in fields(kind))
