"""Specifications of INI keys that hold numbers, choices, names or addresses."""

from __future__ import annotations

import ipaddress
import re
from typing import TYPE_CHECKING

from lagoonsail_config.checked_ini import REQUIRED, KeySpec
from lagoonsail_core.names import NAME_PATTERN

if TYPE_CHECKING:
    from collections.abc import Callable


def _make_number_parser(
    pattern: str, convert: Callable[[str], float], low: float, high: float
) -> Callable[[str], float]:
    """Return a function that parses numbers of a given pattern and range."""

    def parse(text: str) -> float:
        if not re.fullmatch(pattern, text):
            raise ValueError(text)
        number = convert(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def number_key(
    name: str,
    low: int,
    high: int,
    unit: str,
    default: str | None = REQUIRED,
    attribute: str = "",
) -> KeySpec:
    """Specify a key that holds an integer.

    Args:
        name: Name of the key.
        low: Smallest allowed number.
        high: Largest allowed number.
        unit: Unit of the number.
        default: Text that is used when the key is missing.
        attribute: Name of the value in the result, if it differs from `name`.

    Returns:
        The key; its value is an int.
    """
    parse = _make_number_parser(r"[0-9]{1,12}", int, low, high)
    return KeySpec(name, parse, f"{low} to {high} {unit}", default, attribute)


def decimal_key(name: str, low: float, high: float, unit: str) -> KeySpec:
    """Specify a required key that holds a decimal number.

    Args:
        name: Name of the key.
        low: Smallest allowed number.
        high: Largest allowed number.
        unit: Unit of the number.

    Returns:
        The key; its value is a float.
    """
    parse = _make_number_parser(r"[0-9]{1,9}(\.[0-9]{1,6})?", float, low, high)
    return KeySpec(name, parse, f"{low:.9g} to {high:.9g} {unit}")


def choice_key(
    name: str,
    choices: dict[str, object],
    default: str | None = REQUIRED,
    attribute: str = "",
) -> KeySpec:
    """Specify a key that holds one of several words.

    Args:
        name: Name of the key.
        choices: Value by word.
        default: Word that is used when the key is missing.
        attribute: Name of the value in the result, if it differs from `name`.

    Returns:
        The key; its value is the one assigned to the word.
    """

    def parse(text: str) -> object:
        if text not in choices:
            raise ValueError(text)
        return choices[text]

    return KeySpec(name, parse, " or ".join(choices), default, attribute)


def pattern_key(
    name: str,
    pattern: str,
    allowed: str,
    default: str | None = REQUIRED,
    attribute: str = "",
) -> KeySpec:
    """Specify a key that holds a text that matches a pattern.

    Args:
        name: Name of the key.
        pattern: Regular expression that the whole text must match.
        allowed: Description of the pattern for problems.
        default: Text that is used when the key is missing.
        attribute: Name of the value in the result, if it differs from `name`.

    Returns:
        The key; its value is the text.
    """
    compiled_pattern = re.compile(pattern)

    def parse(text: str) -> str:
        if not compiled_pattern.fullmatch(text):
            raise ValueError(text)
        return text

    return KeySpec(name, parse, allowed, default, attribute)


def name_key(name: str, default: str | None = REQUIRED) -> KeySpec:
    """Specify a key that holds an unqualified name.

    Args:
        name: Name of the key.
        default: Text that is used when the key is missing.

    Returns:
        The key; its value is the text.
    """
    pattern = NAME_PATTERN.pattern
    if default == "":
        pattern = f"({pattern})?"
    allowed = "1 to 63 of a-z, 0-9 and hyphen, beginning with a letter or digit"
    return pattern_key(name, pattern, allowed, default)


def split_address(text: str) -> tuple[str, int]:
    """Split an address into its IP number and its port.

    Args:
        text: ``127.0.0.1:8080`` or ``[::1]:8080``.

    Returns:
        IP number without brackets, and port.

    Raises:
        ValueError: If the text is not such an address.
    """
    host, delimiter, port = text.rpartition(":")
    if not delimiter or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > 65535:
        raise ValueError(text)
    if host.startswith("[") and host.endswith("]"):
        return str(ipaddress.IPv6Address(host[1:-1])), int(port)
    return str(ipaddress.IPv4Address(host)), int(port)


def _check_connect_address(text: str) -> str:
    if split_address(text)[1] == 0:
        raise ValueError(text)
    return text


def address_key(
    name: str, default: str | None = REQUIRED, attribute: str = ""
) -> KeySpec:
    """Specify a key that holds the address of a TCP server.

    Args:
        name: Name of the key.
        default: Text that is used when the key is missing; empty for no address.
        attribute: Name of the value in the result, if it differs from `name`.

    Returns:
        The key; its value is the text.
    """

    def parse(text: str) -> str:
        return text if text == default == "" else _check_connect_address(text)

    allowed = "IP number:port, port 1 to 65535"
    return KeySpec(name, parse, allowed, default, attribute)


def address_list_key(
    name: str, default: str | None = REQUIRED, attribute: str = ""
) -> KeySpec:
    """Specify a key that holds addresses to connect to, separated by commas.

    Args:
        name: Name of the key.
        default: Text that is used when the key is missing; empty for no address.
        attribute: Name of the value in the result, if it differs from `name`.

    Returns:
        The key; its value is a list of addresses.
    """

    def parse(text: str) -> list[str]:
        if not text and default == "":
            return []
        addresses = [_check_connect_address(part.strip()) for part in text.split(",")]
        if len(set(addresses)) < len(addresses):
            raise ValueError(text)
        return addresses

    allowed = "distinct IP number:port, separated by commas, port 1 to 65535"
    return KeySpec(name, parse, allowed, default, attribute)
