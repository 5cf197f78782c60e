"""Service documents: what a service team says about its service."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lagoonsail_config.call_path import normalise_path
from lagoonsail_config.checked_ini import Problem, read_sections, read_values
from lagoonsail_config.document_schema import (
    ALLOWED_SECTIONS,
    COMPLETIONS_PATH,
    DEFAULT_FILE,
    KIND_ENGINE,
    KIND_PLAIN,
    MAX_DOCUMENT_BYTES,
    NONE,
    REPEATABLE_METHODS,
    SECTION_KEYS,
    STATE_IN,
    DocumentError,
    split_section,
)
from lagoonsail_core.names import qualify
from lagoonsail_core.unavailable import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable


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
