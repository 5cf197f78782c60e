"""Service documents: what a service team says about its service."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import unquote

from lagoonsail_config.checked_ini import (
    REQUIRED,
    IniError,
    Key,
    Problem,
    Section,
    address_key,
    choice_key,
    decimal_key,
    key_of_line,
    name_key,
    number_key,
    pattern_key,
    read_sections,
    read_values,
    section_of_line,
    split_lines,
)
from lagoonsail_core.names import NAME_PATTERN, qualify
from lagoonsail_core.unavailable import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_DOCUMENT_BYTES = 1_000_000
"""Largest document; the key-value service holds values up to a megabyte."""

STATE_IN = "in"
"""The server or failure domain gets new work."""
STATE_OUT = "out"
"""The server or failure domain gets no new work."""

KIND_ENGINE = "engine"
"""A service of model engines; cost is counted in tokens."""
KIND_PLAIN = "plain"
"""A service that is not a model engine; cost is counted in milliseconds."""

REPEATABLE_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
"""Methods whose calls may be repeated unless the document says otherwise."""

COMPLETIONS_PATH = "/v1/completions"
"""Path of an engine whose POST may be repeated unless the document says otherwise."""

SHOWN_HASH_DIGITS = 16
"""Digits of a key's hash that a description of changes shows."""

DEFAULT_FILE = "document"
"""What problems call a document without a file."""

NONE = "none"
"""Word for a server without a model or a role, and a model without adapters."""

ROLES = ("mixed", "prefill", "decode")
"""What a model engine may be told to do: all of a request, or one phase of it."""

_HASH = re.compile("[0-9a-f]{64}")
_METHODS = ("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH")
_YES_NO = {"yes": True, "no": False}
_STATES = {STATE_IN: STATE_IN, STATE_OUT: STATE_OUT}
_MAX_TIMEOUT_MS = 3_600_000

SERVICE_KEYS = (
    name_key("side"),
    name_key("name"),
    choice_key("kind", {KIND_ENGINE: KIND_ENGINE, KIND_PLAIN: KIND_PLAIN}),
    name_key("region"),
    number_key("queue_limit", 1, 100_000, "requests for each account", "64"),
    number_key("queue_timeout_ms", 1, _MAX_TIMEOUT_MS, "ms", "30000"),
    number_key("request_timeout_ms", 1, _MAX_TIMEOUT_MS, "ms", "120000"),
    number_key("max_body_bytes", 0, 100_000_000, "bytes", "1000000"),
    number_key("max_cost", 1, 100_000_000, "tokens (engine) or ms (plain)", "4096"),
    number_key("retry_budget_percent", 0, 100, "% of the calls", "10"),
)
"""Keys of [service]."""


def _read_model(text: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(text)
    return "" if text == NONE else text


def _read_adapters(text: str) -> frozenset[str]:
    if text == NONE:
        return frozenset()
    names = [part.strip() for part in text.split(",")]
    if not all(NAME_PATTERN.fullmatch(name) and name != NONE for name in names):
        raise ValueError(text)
    if len(set(names)) < len(names):
        raise ValueError(text)
    return frozenset(names)


DOMAIN_KEYS = (choice_key("state", _STATES, STATE_IN),)
"""Keys of [failure-domain NAME]."""

SERVER_KEYS = (
    address_key("address"),
    name_key("failure_domain"),
    number_key("slots", 1, 10_000, "requests at once"),
    number_key("cold_slots", 1, 10_000, "requests at once, not above slots", "1"),
    choice_key("checks_fencing", _YES_NO, "yes"),
    choice_key("state", _STATES, STATE_IN),
    name_key("region", ""),
    Key("model", _read_model, "a [model NAME] of this document, or none", NONE),
    choice_key("role", {NONE: "", **{role: role for role in ROLES}}, NONE),
)
"""Keys of [server NAME]."""

MODEL_KEYS = (
    pattern_key(
        "version",
        "[A-Za-z0-9][A-Za-z0-9._-]{0,62}",
        "1 to 63 of A-Z, a-z, 0-9, dot, _ and hyphen, first a letter or digit",
    ),
    Key("adapters", _read_adapters, "distinct names with commas, or none", NONE),
)
"""Keys of [model NAME]."""

ACCOUNT_KEYS = (
    decimal_key("share", 0.001, 1_000_000, "parts"),
    pattern_key("key_sha256", _HASH.pattern, "64 hex digits in lower case"),
)
"""Keys of [account NAME]."""

CALL_KEYS = (choice_key("repeatable", _YES_NO),)
"""Keys of [calls METHOD /PREFIX]."""

SECTION_KEYS: dict[str, tuple[Key, ...]] = {
    "service": SERVICE_KEYS,
    "failure-domain": DOMAIN_KEYS,
    "server": SERVER_KEYS,
    "model": MODEL_KEYS,
    "account": ACCOUNT_KEYS,
    "calls": CALL_KEYS,
}
"""Keys by the first word of the section's name."""

ALLOWED_SECTIONS = (
    "[service], [failure-domain NAME], [server NAME], [model NAME], "
    "[account NAME], [calls METHOD /PREFIX]"
)
"""What sections a document may hold, in words."""


class DocumentError(IniError):
    """A service document with at least one mistake."""


@dataclass(slots=True)
class DomainEntry:
    """A failure domain as the document names it."""

    name: str
    """Unqualified name."""
    state: str = STATE_IN
    """STATE_IN or STATE_OUT."""


@dataclass(slots=True)
class ServerEntry:
    """A backend server of the service."""

    name: str
    """Unqualified name."""
    address: str
    """IP number and port."""
    failure_domain: str
    """Failure domain, unqualified."""
    slots: int
    """Requests that it may run at once when it is warm."""
    cold_slots: int
    """Requests that it may run at once when it is cold."""
    checks_fencing: bool
    """Whether it refuses requests that carry an old epoch."""
    state: str
    """STATE_IN or STATE_OUT."""
    region: str
    """Region; that of the service unless the document says otherwise."""
    model: str = ""
    """Model that it is to serve; empty if the fleet leaves its model alone."""
    role: str = ""
    """One of ROLES; empty if the fleet leaves its role alone."""


@dataclass(slots=True)
class ModelEntry:
    """A model that servers of the service are brought to."""

    name: str
    """Unqualified name."""
    version: str
    """Version of its weights."""
    adapters: frozenset[str]
    """Adapters that are loaded with it."""


@dataclass(slots=True)
class AccountEntry:
    """A client account of the service."""

    name: str
    """Unqualified name."""
    share: float
    """Weight in the sharing of capacity, relative to the other accounts."""
    key_sha256: str
    """SHA-256 of the account's key, in hex."""


@dataclass(slots=True)
class CallEntry:
    """Says whether some calls of the service may be repeated."""

    method: str
    """HTTP method."""
    prefix: str
    """Beginning of the path."""
    repeatable: bool
    """Whether such a call may be sent twice."""


@dataclass(slots=True)
class ServiceDocument:
    """A service, its failure domains, backend servers, accounts and calls."""

    side: str
    """The side that owns the service."""
    name: str
    """Unqualified name of the service."""
    kind: str
    """KIND_ENGINE or KIND_PLAIN."""
    region: str
    """Region of the servers that do not name one."""
    queue_limit: int
    """Requests of one account that may wait."""
    queue_timeout_ms: int
    """Longest time that a request waits for a slot."""
    request_timeout_ms: int
    """Longest time that a request may run."""
    max_body_bytes: int
    """Largest body of a request."""
    max_cost: int
    """Greatest cost of a request, in the service's unit."""
    retry_budget_percent: int
    """Retries allowed for each hundred calls."""
    domains: dict[str, DomainEntry] = field(default_factory=dict)
    """Failure domains by name."""
    servers: dict[str, ServerEntry] = field(default_factory=dict)
    """Backend servers by name."""
    models: dict[str, ModelEntry] = field(default_factory=dict)
    """Models by name."""
    accounts: dict[str, AccountEntry] = field(default_factory=dict)
    """Client accounts by name."""
    calls: list[CallEntry] = field(default_factory=list)
    """Rules on repeating, in the order of the document."""
    _account_by_hash: dict[str, AccountEntry] = field(
        default_factory=dict, repr=False, compare=False
    )

    def qualified(self) -> str:
        """Return the fleet-wide name of the service, ``side/name``."""
        return qualify(self.side, self.name)

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a call may be sent to a server twice.

        The longest matching prefix decides. The path is compared in its normal form,
        so that another spelling of a path cannot escape its rule.

        Args:
            method: HTTP method in upper case.
            path: Path after the service's name, with or without a query.

        Returns:
            Whether the call may be repeated.
        """
        normal = normalise_path(path)
        rules = [
            call
            for call in self.calls
            if call.method == method and normal.startswith(call.prefix)
        ]
        if rules:
            return max(rules, key=lambda call: len(call.prefix)).repeatable
        if self.kind == KIND_ENGINE and (method, normal) == ("POST", COMPLETIONS_PATH):
            return True
        return method in REPEATABLE_METHODS

    def is_usable(self, server: ServerEntry) -> bool:
        """Return whether neither the server nor its failure domain is out.

        Args:
            server: A server of this document.

        Returns:
            Whether the server may get new work.
        """
        domain = self.domains[server.failure_domain]
        return server.state == STATE_IN and domain.state == STATE_IN

    def account_of_key(self, key: str) -> AccountEntry | Unavailable:
        """Return the client account that a caller's key belongs to.

        Args:
            key: The key as the caller sent it.

        Returns:
            The account, or the reason why there is none.
        """
        digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
        account = self._account_by_hash.get(digest)
        if account is None:
            return Unavailable(f"no account of {self.qualified()} has this key")
        return account

    def shards(self) -> list[str]:
        """Return the shards of the service, one for each region with servers."""
        regions = {server.region for server in self.servers.values()} or {self.region}
        return [f"{self.qualified()}@{region}" for region in sorted(regions)]


def normalise_path(path: str) -> str:
    """Return the path that a server would take this spelling for.

    Args:
        path: Path of a request, with or without a query.

    Returns:
        The path without query, escapes, empty segments and dot segments.

    Example:
        >>> normalise_path("/bibs//a/../%62?x=1")
        '/bibs/b'
    """
    segments: list[str] = []
    path = path.partition("?")[0].partition("#")[0]
    plain = unquote(path, errors="replace").replace("\\", "/")
    for segment in plain.split("/"):
        if segment == "..":
            del segments[-1:]
        elif segment not in ("", "."):
            segments.append(segment)
    return "/" + "/".join(segments)


def split_section(name: str) -> tuple[str, str] | None:
    """Split the name of a section into its kind and what it names.

    Args:
        name: Text between the brackets, with single spaces.

    Returns:
        Kind and the rest, or None if a document holds no such section.
    """
    kind, _, rest = name.partition(" ")
    if kind == "service":
        return (kind, "") if not rest else None
    if kind == "calls":
        method, _, prefix = rest.partition(" ")
        is_known = method in _METHODS and re.fullmatch(r"/[^\s?#]*", prefix)
        return (kind, rest) if is_known and prefix == normalise_path(prefix) else None
    if kind in SECTION_KEYS and NAME_PATTERN.fullmatch(rest):
        return kind, rest
    return None


def _check_server(
    name: str, values: dict, domain_names: list[str], file: str
) -> list[Problem]:
    problems = []
    section = f"server {name}"
    domain = values.get("failure_domain")
    if domain is not None and domain not in domain_names:
        allowed = ", ".join(domain_names) or "a [failure-domain NAME] of the document"
        found = repr(domain)
        problems.append(Problem(file, section, "failure_domain", found, allowed))
    slots = values.get("slots")
    cold_slots = values.get("cold_slots")
    if None not in (slots, cold_slots) and cold_slots > slots:
        allowed = f"1 to {slots} requests at once, not above slots"
        found = repr(str(cold_slots))
        problems.append(Problem(file, section, "cold_slots", found, allowed))
    return problems


def _check_orders(
    values_by_section: dict[tuple[str, str], dict], file: str
) -> list[Problem]:
    """Return the servers that are to have a model or a role they cannot have."""
    problems = []
    models = [name for kind, name in values_by_section if kind == "model"]
    is_plain = values_by_section.get(("service", ""), {}).get("kind") == KIND_PLAIN
    for (kind, name), values in values_by_section.items():
        if (kind, name) == ("model", NONE):
            found = f"a model with the name {NONE}"
            problems.append(Problem(file, f"model {name}", "", found, "another name"))
        if kind != "server":
            continue
        section = f"server {name}"
        model = values.get("model")
        if model and model not in models:
            allowed = ", ".join([*models, NONE])
            problems.append(Problem(file, section, "model", repr(model), allowed))
        for key in ("model", "role"):
            if is_plain and values.get(key):
                allowed = f"{NONE}, since the service is plain"
                found = repr(values[key])
                problems.append(Problem(file, section, key, found, allowed))
    return problems


def _check_unique(
    kind: str, key: str, values_by_section: dict[tuple[str, str], dict], file: str
) -> list[Problem]:
    """Return the sections of a kind whose value of a key another one has too."""
    problems = []
    first_name: dict[str, str] = {}
    for (section_kind, name), values in values_by_section.items():
        if section_kind != kind or key not in values:
            continue
        first = first_name.setdefault(values[key], name)
        if first != name:
            found = f"{values[key]!r}, which [{kind} {first}] has too"
            allowed = f"a value of its own for each {kind}"
            problems.append(Problem(file, f"{kind} {name}", key, found, allowed))
    return problems


def _check_together(
    values_by_section: dict[tuple[str, str], dict], file: str
) -> list[Problem]:
    """Return the mistakes that show only when values are compared."""
    problems = []
    if ("service", "") not in values_by_section:
        problems.append(Problem(file, "service", "", "nothing", "the section once"))
    domain_names = [
        name for kind, name in values_by_section if kind == "failure-domain"
    ]
    for (kind, name), values in values_by_section.items():
        if kind == "server":
            problems += _check_server(name, values, domain_names, file)
    problems += _check_orders(values_by_section, file)
    problems += _check_unique("server", "address", values_by_section, file)
    problems += _check_unique("account", "key_sha256", values_by_section, file)
    return problems


def _add_server(document: ServiceDocument, name: str, values: dict) -> None:
    values["region"] = values["region"] or document.region
    document.servers[name] = ServerEntry(name, **values)


def _add_model(document: ServiceDocument, name: str, values: dict) -> None:
    document.models[name] = ModelEntry(name, **values)


def _add_domain(document: ServiceDocument, name: str, values: dict) -> None:
    document.domains[name] = DomainEntry(name, **values)


def _add_account(document: ServiceDocument, name: str, values: dict) -> None:
    account = AccountEntry(name, **values)
    document.accounts[name] = account
    document._account_by_hash[account.key_sha256] = account


def _add_call(document: ServiceDocument, name: str, values: dict) -> None:
    method, _, prefix = name.partition(" ")
    document.calls.append(CallEntry(method, prefix, **values))


_ADD: dict[str, Callable[[ServiceDocument, str, dict], None]] = {
    "failure-domain": _add_domain,
    "server": _add_server,
    "model": _add_model,
    "account": _add_account,
    "calls": _add_call,
}


def parse_document(text: str, file: str = DEFAULT_FILE) -> ServiceDocument:
    """Read a service document and check it as a whole.

    Args:
        text: The document, INI text of at most MAX_DOCUMENT_BYTES.
        file: What problems call the document.

    Returns:
        The document.

    Raises:
        DocumentError: With every mistake that was found.
    """
    sections, problems = read_sections(text, file, MAX_DOCUMENT_BYTES)
    values_by_section: dict[tuple[str, str], dict] = {}
    for section in sections:
        parts = split_section(section.name)
        if parts is None:
            found = "an unknown section"
            problems.append(Problem(file, section.name, "", found, ALLOWED_SECTIONS))
            continue
        keys = SECTION_KEYS[parts[0]]
        values_by_section[parts] = read_values(section, keys, file, problems)
    if sections or not problems:
        problems += _check_together(values_by_section, file)
    if problems:
        raise DocumentError(problems)
    document = ServiceDocument(**values_by_section.pop(("service", "")))
    for (kind, name), values in values_by_section.items():
        _ADD[kind](document, name, values)
    return document


def _find_state_line(lines: list[str], section: str) -> tuple[int, int]:
    """Return the index of the section's state line, and of its last line with text.

    The index of the state line is -1 if there is none; that of the last line is -1 if
    the section does not exist.
    """
    state_index = last_index = -1
    current = ""
    for index, line in enumerate(lines):
        current = section_of_line(line) or current
        if current != section:
            continue
        if section_of_line(line) or key_of_line(line):
            last_index = index
        if key_of_line(line) == "state":
            state_index = index
    return state_index, last_index


def edit_state(text: str, section: str, state: str) -> str:
    r"""Set the state in one section and keep every other line as it is.

    Args:
        text: A document without mistakes.
        section: ``server NAME`` or ``failure-domain NAME``.
        state: STATE_IN or STATE_OUT.

    Returns:
        The changed document.

    Raises:
        DocumentError: If the document has no such section.

    Example:
        >>> edit_state("[server a]  \n# old\nstate = in\n", "server a", "out")
        '[server a]  \n# old\nstate = out\n'
    """
    lines = split_lines(text)
    state_index, last_index = _find_state_line(lines, section)
    if last_index == -1:
        found = [
            section_of_line(line)
            for line in lines
            if section_of_line(line).startswith(section.partition(" ")[0])
        ]
        allowed = ", ".join(found) or "nothing: the document has no such sections"
        raise DocumentError([Problem(DEFAULT_FILE, section, "", "nothing", allowed)])
    if state_index == -1:
        ending = "\r" if lines[last_index].endswith("\r") else ""
        lines.insert(last_index + 1, f"state = {state}{ending}")
        return "\n".join(lines)
    line = lines[state_index]
    before, _, value = line.partition("=")
    start = value[: len(value) - len(value.lstrip())] or " "
    end = value[len(value.rstrip()) :] if value.strip() else ""
    lines[state_index] = f"{before}={start}{state}{end}"
    return "\n".join(lines)


def _effective_values(section: Section) -> dict[str, str]:
    """Return the text of each key as it is shown, with defaults filled in."""
    parts = split_section(section.name)
    keys = SECTION_KEYS[parts[0]] if parts else ()
    defaults = {
        key.name: f"{key.default} (default)"
        for key in keys
        if key.default is not REQUIRED
    }
    return {**defaults, **_shown_values(section)}


def _shown_values(section: Section) -> dict[str, str]:
    """Return the text of each key; of a well-formed hash only its beginning."""
    return {
        key: f"{value[:SHOWN_HASH_DIGITS]}…" if _HASH.fullmatch(value) else value
        for key, value in section.values.items()
    }


def _without_default_mark(value: str | None) -> str | None:
    return value.removesuffix(" (default)") if value is not None else None


def _describe_section(old: Section, new: Section) -> list[str]:
    old_values = _effective_values(old)
    new_values = _effective_values(new)
    changes = []
    for key in {**old_values, **new_values}:
        before = old_values.get(key)
        after = new_values.get(key)
        if _without_default_mark(before) == _without_default_mark(after):
            continue
        before = before or "nothing"
        after = after or "nothing"
        changes.append(f"[{new.name}] {key}: {before} -> {after}")
    return changes


def _describe_whole(section: Section, verb: str) -> str:
    shown = _shown_values(section)
    values = ", ".join(f"{key} = {value}" for key, value in shown.items())
    return (
        f"[{section.name}] {verb}: {values}" if values else f"[{section.name}] {verb}"
    )


def describe_changes(old: str, new: str) -> list[str]:
    r"""Describe what differs between two documents, for people.

    Args:
        old: The older document; empty if there was none.
        new: The newer document; empty if it is deleted.

    Returns:
        One line for each difference that has an effect; empty if there is none.

    Example:
        >>> describe_changes("[server a]\nslots = 4", "[server a]\nslots = 6")
        ['[server a] slots: 4 -> 6']
    """
    old_sections, _ = read_sections(old, DEFAULT_FILE, MAX_DOCUMENT_BYTES)
    new_sections, _ = read_sections(new, DEFAULT_FILE, MAX_DOCUMENT_BYTES)
    old_by_name = {section.name: section for section in old_sections}
    new_by_name = {section.name: section for section in new_sections}
    changes = []
    for section in old_sections:
        if section.name not in new_by_name:
            changes.append(_describe_whole(section, "removed"))
    for section in new_sections:
        if section.name in old_by_name:
            changes += _describe_section(old_by_name[section.name], section)
        else:
            changes.append(_describe_whole(section, "added"))
    return changes
