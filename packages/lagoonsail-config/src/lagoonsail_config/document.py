"""Service documents, in which a team describes its service."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lagoonsail_config.call_path import normalise_path
from lagoonsail_config.checked_ini import Problem, read_sections, read_values
from lagoonsail_config.document_schema import (
    ALLOWED_SECTIONS,
    COMPLETIONS_PATH,
    DEFAULT_DOCUMENT_NAME,
    KIND_ENGINE,
    KIND_PLAIN,
    MAX_DOCUMENT_BYTES,
    NONE,
    REPEATABLE_METHODS,
    SECTION_KEYS,
    STATE_IN,
    DocumentError,
    split_section_name,
)
from lagoonsail_core.names import qualify
from lagoonsail_core.unavailable import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Set

MAX_LISTED_NAMES = 200
"""Names listed in a mistake as those that are allowed. A document of the largest size
may have 20,000 names, and thousands of mistakes that each list them."""


@dataclass(slots=True)
class DomainEntry:
    """A failure domain of the service."""

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
    """Maximum number of concurrent requests when the server is warm."""
    cold_slots: int
    """Maximum number of concurrent requests when the server is cold."""
    checks_fencing: bool
    """Whether the server refuses requests with an outdated epoch."""
    state: str
    """STATE_IN or STATE_OUT."""
    region: str
    """Region; the region of the service unless the document sets another."""
    model: str = ""
    """Model that the server should load; empty if the fleet does not manage it."""
    role: str = ""
    """One of ROLES; empty if the fleet does not manage the role."""


@dataclass(slots=True)
class ModelEntry:
    """A model that can be assigned to servers of the service."""

    name: str
    """Unqualified name."""
    version: str
    """Version of its weights."""
    adapters: frozenset[str]
    """Adapters that are loaded with the model."""


@dataclass(slots=True)
class AccountEntry:
    """A client account of the service."""

    name: str
    """Unqualified name."""
    share: float
    """Weight in fair sharing of capacity, relative to the other accounts."""
    key_sha256: str
    """SHA-256 of the account's key, in hex."""


@dataclass(slots=True)
class CallEntry:
    """A rule on whether some calls of the service may be repeated."""

    method: str
    """HTTP method."""
    prefix: str
    """Prefix of the normalised path."""
    repeatable: bool
    """Whether a matching call may be sent twice."""


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
    """Region of servers that do not set one."""
    queue_limit: int
    """Maximum number of waiting requests for each account."""
    queue_timeout_ms: int
    """Maximum time that a request waits for a slot."""
    request_timeout_ms: int
    """Maximum time that a request may run."""
    max_body_bytes: int
    """Maximum size of a request body."""
    max_cost: int
    """Maximum cost of a request, in the service's unit."""
    retry_budget_percent: int
    """Retries allowed per hundred calls."""
    domains: dict[str, DomainEntry] = field(default_factory=dict)
    """Failure domains by name."""
    servers: dict[str, ServerEntry] = field(default_factory=dict)
    """Backend servers by name."""
    models: dict[str, ModelEntry] = field(default_factory=dict)
    """Models by name."""
    accounts: dict[str, AccountEntry] = field(default_factory=dict)
    """Client accounts by name."""
    calls: list[CallEntry] = field(default_factory=list)
    """Rules on repeatable calls, in the order of the document."""
    _account_by_hash: dict[str, AccountEntry] = field(
        default_factory=dict, repr=False, compare=False
    )

    def qualified(self) -> str:
        """Return the fleet-wide name of the service, ``side/name``."""
        return qualify(self.side, self.name)

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a call may be sent to a server twice.

        The longest matching prefix decides. The path is normalised first, so that
        another spelling of a path cannot bypass its rule.

        Args:
            method: HTTP method in upper case.
            path: Path after the service name, with or without a query.

        Returns:
            Whether the call may be repeated.
        """
        normalised_path = normalise_path(path)
        matching_rules = [
            call
            for call in self.calls
            if call.method == method and normalised_path.startswith(call.prefix)
        ]
        if matching_rules:
            return max(matching_rules, key=lambda call: len(call.prefix)).repeatable
        if self.kind == KIND_ENGINE and (method, normalised_path) == (
            "POST",
            COMPLETIONS_PATH,
        ):
            return True
        return method in REPEATABLE_METHODS

    def is_usable(self, server: ServerEntry) -> bool:
        """Return whether the server and its failure domain are both STATE_IN.

        Args:
            server: A server of this document.

        Returns:
            Whether the server may get new requests.
        """
        domain = self.domains[server.failure_domain]
        return server.state == STATE_IN and domain.state == STATE_IN

    def find_account_by_key(self, key: str) -> AccountEntry | Unavailable:
        """Return the client account that a caller's key belongs to.

        Args:
            key: The key as the caller sent it.

        Returns:
            The account, or the reason why no account was found.
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


def _list_names(names: list[str]) -> str:
    """Return the first names as a list, and how many more there are."""
    listed = ", ".join(names[:MAX_LISTED_NAMES])
    more = len(names) - MAX_LISTED_NAMES
    return f"{listed} and {more} more" if more > 0 else listed


def _check_server(
    name: str, values: dict, domain_names: Set[str], allowed_domains: str, file: str
) -> list[Problem]:
    problems = []
    section = f"server {name}"
    domain = values.get("failure_domain")
    if domain is not None and domain not in domain_names:
        found = repr(domain)
        problems.append(
            Problem(file, section, "failure_domain", found, allowed_domains)
        )
    slots = values.get("slots")
    cold_slots = values.get("cold_slots")
    if None not in (slots, cold_slots) and cold_slots > slots:
        allowed = f"1 to {slots} requests at once, not above slots"
        found = repr(str(cold_slots))
        problems.append(Problem(file, section, "cold_slots", found, allowed))
    return problems


def _check_models_and_roles(
    values_by_section: dict[tuple[str, str], dict], file: str
) -> list[Problem]:
    """Return the problems of model names, and of models and roles of servers."""
    problems = []
    model_names = [name for kind, name in values_by_section if kind == "model"]
    known_models = frozenset(model_names)
    allowed_models = ", ".join(filter(None, [_list_names(model_names), NONE]))
    is_plain = values_by_section.get(("service", ""), {}).get("kind") == KIND_PLAIN
    for (kind, name), values in values_by_section.items():
        if (kind, name) == ("model", NONE):
            found = f"a model with the name {NONE}"
            problems.append(Problem(file, f"model {name}", "", found, "another name"))
        if kind != "server":
            continue
        section = f"server {name}"
        model = values.get("model")
        if model and model not in known_models:
            found = repr(model)
            problems.append(Problem(file, section, "model", found, allowed_models))
        for key in ("model", "role"):
            if is_plain and values.get(key):
                allowed = f"{NONE}, since the service is plain"
                found = repr(values[key])
                problems.append(Problem(file, section, key, found, allowed))
    return problems


def _check_unique(
    kind: str, key: str, values_by_section: dict[tuple[str, str], dict], file: str
) -> list[Problem]:
    """Return a problem for each section of a kind that repeats the value of a key."""
    problems = []
    name_by_value: dict[str, str] = {}
    for (section_kind, name), values in values_by_section.items():
        if section_kind != kind or key not in values:
            continue
        first_name = name_by_value.setdefault(values[key], name)
        if first_name != name:
            found = f"{values[key]!r}, which [{kind} {first_name}] has too"
            allowed = f"a value of its own for each {kind}"
            problems.append(Problem(file, f"{kind} {name}", key, found, allowed))
    return problems


def _check_consistency(
    values_by_section: dict[tuple[str, str], dict], file: str
) -> list[Problem]:
    """Return the mistakes that show only when sections and values are compared."""
    problems = []
    if ("service", "") not in values_by_section:
        problems.append(Problem(file, "service", "", "nothing", "the section once"))
    domain_names = [
        name for kind, name in values_by_section if kind == "failure-domain"
    ]
    allowed_domains = _list_names(domain_names)
    if not domain_names:
        allowed_domains = "a [failure-domain NAME] of the document"
    known_domains = frozenset(domain_names)
    for (kind, name), values in values_by_section.items():
        if kind == "server":
            problems += _check_server(
                name, values, known_domains, allowed_domains, file
            )
    problems += _check_models_and_roles(values_by_section, file)
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


_ADD_SECTION_BY_KIND: dict[str, Callable[[ServiceDocument, str, dict], None]] = {
    "failure-domain": _add_domain,
    "server": _add_server,
    "model": _add_model,
    "account": _add_account,
    "calls": _add_call,
}


def parse_document(text: str, file: str = DEFAULT_DOCUMENT_NAME) -> ServiceDocument:
    """Parse a service document and check it completely.

    Args:
        text: The document, INI text of at most MAX_DOCUMENT_BYTES.
        file: Name of the document in problems.

    Returns:
        The document.

    Raises:
        DocumentError: If the document has mistakes; the error lists all of them.
    """
    sections, problems = read_sections(text, file, MAX_DOCUMENT_BYTES)
    values_by_section: dict[tuple[str, str], dict] = {}
    for section in sections:
        kind_and_name = split_section_name(section.name)
        if kind_and_name is None:
            found = "an unknown section"
            problems.append(Problem(file, section.name, "", found, ALLOWED_SECTIONS))
            continue
        keys = SECTION_KEYS[kind_and_name[0]]
        values_by_section[kind_and_name] = read_values(section, keys, file, problems)
    if sections or not problems:
        problems += _check_consistency(values_by_section, file)
    if problems:
        raise DocumentError(problems)
    document = ServiceDocument(**values_by_section.pop(("service", "")))
    for (kind, name), values in values_by_section.items():
        _ADD_SECTION_BY_KIND[kind](document, name, values)
    return document
