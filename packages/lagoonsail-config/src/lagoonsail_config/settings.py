"""Router settings, read from an INI file that is checked completely."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from lagoonsail_config.checked_ini import (
    IniError,
    KeySpec,
    Problem,
    Section,
    quote_truncated,
    read_sections,
    read_values,
)
from lagoonsail_config.ini_keys import (
    address_key,
    address_list_key,
    choice_key,
    name_key,
    number_key,
    pattern_key,
    split_address,
)

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_MEMORY_MB = 512
"""Memory that a router may use unless its settings say otherwise, in MB."""

MAX_SETTINGS_BYTES = 100_000
"""Largest size of a settings file."""

MIN_KEY_BYTES = 16
"""Shortest allowed shared key."""
MAX_KEY_BYTES = 4096
"""Longest allowed shared key."""

INVARIANTS_FATAL = "fatal"
"""A violated invariant ends the process."""
INVARIANTS_COUNT = "count"
"""A violated invariant is counted and reported."""

TRANSPORT_GRPC = "grpc"
"""Streams between routers are gRPC calls."""
TRANSPORT_TCP = "tcp"
"""Streams between routers are plain TCP connections."""

_LOG_LEVELS = ("debug", "info", "notice", "warning", "error")

SETTINGS_KEYS: dict[str, tuple[KeySpec, ...]] = {
    "router": (
        name_key("name"),
        name_key("side"),
        name_key("region"),
        name_key("failure_domain"),
    ),
    "listen": (
        address_key("callers", attribute="callers_address"),
        address_key("admin", attribute="admin_address"),
        address_key("peers", attribute="peers_address"),
    ),
    "store": (
        address_list_key("endpoints", attribute="store_endpoints"),
        pattern_key(
            "prefix",
            r"/([a-zA-Z0-9._-]+/)+",
            "a path that begins and ends with /, of letters, digits, dot, _ and -",
            "/lagoonsail/",
            "store_prefix",
        ),
        number_key("timeout_ms", 10, 60_000, "ms", "1000", "store_timeout_ms"),
        number_key("lease_ttl_ms", 1000, 60_000, "ms", "3000"),
    ),
    "host-list": (
        pattern_key(
            "url",
            r"https?://[^\s/]+(/[^\s]*)?",
            "a URL that begins with http:// or https://",
            attribute="host_list_url",
        ),
        number_key("poll_ms", 50, 60_000, "ms", "1000", "host_list_poll_ms"),
        number_key("max_lag_ms", 0, 600_000, "ms", "10000", "host_list_max_lag_ms"),
    ),
    "peers": (
        address_key("advertised", "", "advertised_peers_address"),
        pattern_key("shared_key_file", r".*", "path of a file", ""),
        number_key("heartbeat_ms", 10, 60_000, "ms", "500"),
        number_key("silence_ms", 20, 600_000, "ms", "2000"),
        number_key("flush_ms", 0, 1000, "ms", "2"),
        choice_key(
            "transport",
            {word: word for word in (TRANSPORT_GRPC, TRANSPORT_TCP)},
            TRANSPORT_TCP,
            "peers_transport",
        ),
    ),
    "limits": (
        number_key("start_window_ms", 10, 60_000, "ms", "1000"),
        number_key("drain_lag_ms", 0, 60_000, "ms", "1000"),
        number_key("stop_timeout_ms", 0, 3_600_000, "ms", "60000"),
        number_key("max_connections", 1, 100_000, "connections", "2000"),
        number_key("memory_mb", 100, 1_000_000, "MB", str(DEFAULT_MEMORY_MB)),
        number_key("reject_after_ms", 0, 600_000, "ms", "5000"),
        choice_key(
            "invariants",
            {word: word for word in (INVARIANTS_FATAL, INVARIANTS_COUNT)},
            INVARIANTS_FATAL,
        ),
    ),
    "log": (
        choice_key("level", {word: word for word in _LOG_LEVELS}, "info", "log_level"),
    ),
}
"""Keys by section."""


class SettingsError(IniError):
    """Settings with at least one mistake."""


@dataclass(slots=True)
class RouterSettings:
    """Settings of one router."""

    name: str
    """Name of the router, unique within the fleet."""
    side: str
    """Side that the router belongs to."""
    region: str
    """Region of its host."""
    failure_domain: str
    """Failure domain of its host, unqualified."""
    callers_address: str
    """Address that callers connect to."""
    admin_address: str
    """Address that operators connect to."""
    peers_address: str
    """Address that other routers connect to."""
    advertised_peers_address: str
    """Address announced to other routers; peers_address unless a relay is used."""
    store_endpoints: list[str]
    """Addresses of the key-value service."""
    store_prefix: str
    """Prefix of every key of this fleet."""
    store_timeout_ms: int
    """Timeout of one call to the key-value service."""
    lease_ttl_ms: int
    """Time to live of the router's lease unless it is renewed."""
    host_list_url: str
    """URL that the host list is read from."""
    host_list_poll_ms: int
    """Interval between two polls of the host list."""
    host_list_max_lag_ms: int
    """Maximum time that the host list lags behind the state of the hosts."""
    shared_key: bytes
    """Key that authenticates routers and operators; empty to disable authentication."""
    heartbeat_ms: int
    """Interval between two heartbeats on a stream."""
    silence_ms: int
    """Time without received data after which a stream is closed and reconnected."""
    flush_ms: int
    """Time that messages wait to be sent in one frame with later ones."""
    peers_transport: str
    """TRANSPORT_GRPC or TRANSPORT_TCP; the same on all routers."""
    start_window_ms: int
    """Time after a grant within which the request must reach its server."""
    drain_lag_ms: int
    """Time that callers need to notice that a router is stopping."""
    stop_timeout_ms: int
    """Timeout of a planned stop."""
    max_connections: int
    """Maximum number of concurrent caller connections."""
    memory_mb: int
    """Memory that the process may use, in units of 1,000,000 bytes."""
    reject_after_ms: int
    """Time without any owner after which requests are refused immediately."""
    invariants: str
    """INVARIANTS_FATAL or INVARIANTS_COUNT."""
    log_level: str
    """Lowest level that is logged."""


def is_loopback(address: str) -> bool:
    """Return whether an address is reachable only from the same host.

    Args:
        address: A checked address.

    Returns:
        Whether its IP number is a loopback address.
    """
    return ipaddress.ip_address(split_address(address)[0]).is_loopback


def read_shared_key(path: Path) -> bytes:
    """Read a shared key from a file and strip surrounding white space.

    Args:
        path: File that holds the key.

    Returns:
        The key.

    Raises:
        ValueError: If the file cannot be read, or the key is too short or too long.
    """
    try:
        with path.open("rb") as file:
            key = file.read(MAX_KEY_BYTES + 1).strip()
    except (OSError, ValueError) as error:
        raise ValueError(f"a file that cannot be read ({error})") from error
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise ValueError(f"a file with a key of {len(key)} bytes")
    return key


def _check_timing(values: dict, file: str) -> list[Problem]:
    problems = []
    heartbeat_ms = values.get("heartbeat_ms", 0)
    silence_ms = values.get("silence_ms", 2 * heartbeat_ms)
    if silence_ms < 2 * heartbeat_ms:
        allowed = f"at least 2 x heartbeat_ms, {2 * heartbeat_ms} ms"
        found = repr(str(silence_ms))
        problems.append(Problem(file, "peers", "silence_ms", found, allowed))
    timeout_ms = values.get("store_timeout_ms", 0)
    lease_ttl_ms = values.get("lease_ttl_ms", timeout_ms + 1)
    if timeout_ms >= lease_ttl_ms:
        allowed = f"less than lease_ttl_ms, {lease_ttl_ms} ms"
        found = repr(str(timeout_ms))
        problems.append(Problem(file, "store", "timeout_ms", found, allowed))
    return problems


def _listen_addresses(values: dict) -> dict[str, str]:
    """Return the well-formed listen addresses by key."""
    return {
        key: values[f"{key}_address"]
        for key in ("callers", "admin", "peers")
        if f"{key}_address" in values
    }


def _check_addresses(values: dict, file: str) -> list[Problem]:
    problems = []
    key_by_address: dict[tuple[str, int], str] = {}
    for key, address in _listen_addresses(values).items():
        ip_and_port = split_address(address)
        first_key = key_by_address.setdefault(ip_and_port, key)
        if first_key != key:
            found = f"{address!r}, which {first_key} has too"
            allowed = "an address of its own"
            problems.append(Problem(file, "listen", key, found, allowed))
        # Operators and other routers connect to these addresses as written.
        is_connect_address = key == "admin" or (
            key == "peers" and values.get("advertised_peers_address") == ""
        )
        if is_connect_address and ipaddress.ip_address(ip_and_port[0]).is_unspecified:
            allowed = "the IP number of one interface"
            problems.append(Problem(file, "listen", key, repr(address), allowed))
    return problems


def _check_shared_key(
    values: dict, file: str, read_key: Callable[[str], bytes]
) -> list[Problem]:
    """Replace the name of the key file in the values by the shared key."""
    name = values.pop("shared_key_file")
    values["shared_key"] = b""
    if not name:
        if all(is_loopback(address) for address in _listen_addresses(values).values()):
            return []
        found = "nothing, with addresses that other hosts can reach"
        allowed = "path of a file with the shared key"
        return [Problem(file, "peers", "shared_key_file", found, allowed)]
    try:
        values["shared_key"] = read_key(name)
    except ValueError as error:
        allowed = f"a file that holds {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes"
        found = f"{quote_truncated(name)}, {error}"
        return [Problem(file, "peers", "shared_key_file", found, allowed)]
    return []


def parse_settings(
    text: str, file: str, read_key: Callable[[str], bytes]
) -> RouterSettings:
    """Parse the text of a settings file and check it completely.

    Args:
        text: INI text.
        file: Name of the text in problems.
        read_key: Returns the shared key from a file, or raises ValueError.

    Returns:
        The settings.

    Raises:
        SettingsError: If the settings have mistakes; the error lists all of them.
    """
    sections, problems = read_sections(text, file, MAX_SETTINGS_BYTES)
    if problems and not sections:
        # The text could not be parsed, so missing keys are not known.
        raise SettingsError(problems)
    section_by_name = {section.name: section for section in sections}
    for name in section_by_name:
        if name not in SETTINGS_KEYS:
            allowed = ", ".join(f"[{known}]" for known in SETTINGS_KEYS)
            problems.append(Problem(file, name, "", "an unknown section", allowed))
    values: dict = {}
    for name, keys in SETTINGS_KEYS.items():
        section = section_by_name.get(name, Section(name))
        values |= read_values(section, keys, file, problems)
    problems += _check_timing(values, file)
    problems += _check_addresses(values, file)
    problems += _check_shared_key(values, file, read_key)
    if problems:
        raise SettingsError(problems)
    advertised = values["advertised_peers_address"] or values["peers_address"]
    values["advertised_peers_address"] = advertised
    return RouterSettings(**values)


def load_settings(path: str | Path) -> RouterSettings:
    """Read the settings of a router.

    Args:
        path: The INI file. A relative shared_key_file is relative to its directory.

    Returns:
        The settings.

    Raises:
        SettingsError: If the settings have mistakes; the error lists all of them.
    """
    path = Path(path)

    def read_key(name: str) -> bytes:
        return read_shared_key(path.parent / name)

    return parse_settings(read_settings_text(path), str(path), read_key)


def read_settings_text(path: Path) -> str:
    """Read a settings file.

    Args:
        path: The INI file.

    Returns:
        Its text, truncated to one byte more than MAX_SETTINGS_BYTES, so that the parser
        can tell that it is too large.

    Raises:
        SettingsError: If the file cannot be read or is not UTF-8.
    """
    allowed = "a readable file in UTF-8"
    try:
        with path.open("rb") as file:
            return file.read(MAX_SETTINGS_BYTES + 1).decode("utf-8")
    except (OSError, ValueError) as error:
        raise SettingsError(
            [Problem(str(path), "", "", str(error), allowed)]
        ) from error
