"""Addresses and credentials of the key-value service and the routers."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from lagoonsail_config.checked_ini import (
    KeySpec,
    Problem,
    Section,
    read_sections,
    read_values,
)
from lagoonsail_config.ini_keys import address_list_key, number_key, pattern_key
from lagoonsail_config.settings import (
    MAX_SETTINGS_BYTES,
    SettingsError,
    read_settings_text,
    read_shared_key,
)
from lagoonsail_core.clock import Clock
from lagoonsail_ctl.errors import BadInputError
from lagoonsail_store.store_client import StoreClient

SETTINGS_VARIABLE = "LAGOONCTL_SETTINGS"
"""Environment variable that names the settings file."""

SECTION = "lagoonctl"
"""The only section of the settings file."""

SETTINGS_KEYS: tuple[KeySpec, ...] = (
    address_list_key("store", "", "store_endpoints"),
    pattern_key(
        "prefix",
        r"/([a-zA-Z0-9._-]+/)+",
        "a path that begins and ends with /, of letters, digits, dot, _ and -",
        "/lagoonsail/",
    ),
    pattern_key("key_file", ".*", "path of a file with the shared key", ""),
    address_list_key("routers", "", "routers"),
    number_key("timeout_ms", 10, 60_000, "ms", "2000"),
)
"""Keys of the settings file; the command line has an option for each."""


@dataclass(slots=True)
class Connection:
    """Addresses, key and options with which a command reaches the fleet."""

    store_endpoints: list[str]
    """Addresses of the key-value service, ip:port; may be empty."""
    prefix: str
    """Prefix of every key of the fleet."""
    shared_key: bytes
    """Key that signs requests to routers; empty to send them unsigned."""
    routers: list[str]
    """Admin addresses of routers; empty to read them from the key-value service."""
    timeout_ms: int
    """Timeout of one call in ms."""
    clock: Clock = field(default_factory=Clock)
    """Clock for signatures and deadlines."""
    wants_json: bool = False
    """Whether the command prints JSON."""

    def open_store(self) -> StoreClient:
        """Return a client of the key-value service.

        Returns:
            The client.

        Raises:
            BadInputError: If no address of the service is configured.
        """
        if not self.store_endpoints:
            raise BadInputError(
                "no address of the key-value service is configured",
                f"give --store ip:port, or --settings, or {SETTINGS_VARIABLE}",
            )
        return StoreClient(self.store_endpoints, self.timeout_ms, self.clock)


def _read_file_values(path: Path, problems: list[Problem]) -> dict[str, str]:
    """Return the raw values of the settings file, with key_file resolved."""
    text = read_settings_text(path)
    sections, section_problems = read_sections(text, str(path), MAX_SETTINGS_BYTES)
    problems += section_problems
    texts: dict[str, str] = {}
    for section in sections:
        if section.name != SECTION:
            found = "an unknown section"
            problems.append(Problem(str(path), section.name, "", found, f"[{SECTION}]"))
            continue
        read_values(section, SETTINGS_KEYS, str(path), problems)
        texts = dict(section.values)
    if texts.get("key_file"):
        texts["key_file"] = str(path.parent / texts["key_file"])
    return texts


def load_connection(settings_path: Path | None, options: dict[str, str]) -> Connection:
    """Combine a settings file with the options of the command line.

    Args:
        settings_path: INI file with the section ``[lagoonctl]``, or None. A relative
            key_file in it is resolved against its directory.
        options: Raw value by key from the command line; it overrides the file's.

    Returns:
        The connection.

    Raises:
        SettingsError: If a value is invalid; lists all mistakes found.
    """
    problems: list[Problem] = []
    texts = _read_file_values(settings_path, problems) if settings_path else {}
    if problems:
        raise SettingsError(problems)
    section = Section("options", {**texts, **options})
    values = read_values(section, SETTINGS_KEYS, "command line", problems)
    key_file = values.pop("key_file", "")
    try:
        shared_key = read_shared_key(Path(key_file)) if key_file else b""
    except ValueError as error:
        allowed = "a readable file with the shared key"
        problems.append(
            Problem("command line", "options", "key_file", str(error), allowed)
        )
    if problems:
        raise SettingsError(problems)
    return Connection(shared_key=shared_key, **values)
