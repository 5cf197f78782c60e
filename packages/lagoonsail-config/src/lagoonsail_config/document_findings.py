"""Finds entries of a service document that are valid but cannot take effect.

Finds configurations that apply accepts and that fail or do nothing at run time: rules
that another rule covers, failure domains without servers, limits that contradict. A
document of the largest size has some ten thousand entries; findings are bounded, and
rules are compared in order, so that none uses much memory or time.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from itertools import chain, islice
from operator import attrgetter
from typing import TYPE_CHECKING

from lagoonsail_config.document_schema import KIND_ENGINE, KIND_PLAIN
from lagoonsail_config.settings import DEFAULT_MEMORY_MB

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonsail_config.document import CallEntry, ServiceDocument

COVERED_RULE = "covered_rule"
"""A [calls] rule repeats a more general one that decides without it."""
UNUSED_DOMAIN = "unused_domain"
"""A failure domain has no server."""
UNUSED_MODEL = "unused_model"
"""A model is assigned to no server."""
NO_ACCOUNT = "no_account"
"""The service has no account, so that it refuses every call."""
NO_USABLE_SERVER = "no_usable_server"
"""Each server, or its failure domain, is out of service."""
EMPTY_KEY = "empty_key"
"""The hash of an account's key is that of an empty text."""
COLD_LIMIT = "cold_limit"
"""A server's limit after a cold start is that of a warm server."""
UNREACHABLE_COST = "unreachable_cost"
"""Requests end by their timeout before they reach the greatest cost."""
QUEUE_MEMORY = "queue_memory"
"""The bodies of a full queue exceed the memory of a router."""
NO_BODY = "no_body"
"""An engine accepts no body, hence no prompt."""
NO_RETRIES = "no_retries"
"""A rule allows retries, for which there is no budget."""
MORE_FINDINGS = "more_findings"
"""There are more findings than are listed."""

MAX_FINDINGS = 200
"""Findings listed of one document."""

_EMPTY_KEY_HASHES = {
    hashlib.sha256(b"").hexdigest(): "is that of an empty key, so that calls need none",
    hashlib.sha256(b"\n").hexdigest(): "is that of an empty line, which no key matches",
}


@dataclass(slots=True)
class Finding:
    """An entry that apply accepts, but that has no effect or contradicts another."""

    kind: str
    """One of the kinds of this module, or of the command that reports it."""
    section: str
    """Section; empty if the finding concerns the whole document."""
    key: str
    """Key; empty if the finding concerns the whole section."""
    message: str
    """What was found, and the remedy."""

    def __str__(self) -> str:
        section = f"[{self.section}] " if self.section else ""
        key = f"{self.key}: " if self.key else ""
        return f"{section}{key}{self.message} ({self.kind})"


def _section_of(rule: CallEntry) -> str:
    return f"calls {rule.method} {rule.prefix}"


def find_covered_rules(document: ServiceDocument) -> Iterator[Finding]:
    """Find rules that decide as the longest shorter prefix would without them.

    A rule that states the default of its method is not reported: it documents the
    intention, and protects the calls if a more general rule is added.

    Args:
        document: A document without mistakes.

    Yields:
        One finding for each such rule.
    """
    nearest_rules = _find_nearest_rules(document.calls)
    for rule, nearest in zip(document.calls, nearest_rules, strict=True):
        if nearest is None or nearest.repeatable != rule.repeatable:
            continue
        message = (
            f"has no effect: [{_section_of(nearest)}] covers these calls with the same "
            "value; remove the section or change its value"
        )
        yield Finding(COVERED_RULE, _section_of(rule), "", message)


def _find_nearest_rules(rules: list[CallEntry]) -> list[CallEntry | None]:
    """Return, for each rule, that of its method with the longest shorter prefix.

    In the order of prefixes, the rules that cover a rule come before it, and those in
    between are covered by them too. So each rule is compared with few others.

    Args:
        rules: Rules with different methods or prefixes.
    """
    nearest: list[CallEntry | None] = [None] * len(rules)
    covering: list[CallEntry] = []
    by_prefix = sorted(range(len(rules)), key=lambda index: _order_of(rules[index]))
    for index in by_prefix:
        rule = rules[index]
        while covering and not _is_covered(rule, covering[-1]):
            covering.pop()
        if covering:
            nearest[index] = covering[-1]
        covering.append(rule)
    return nearest


_order_of = attrgetter("method", "prefix")


def _is_covered(rule: CallEntry, other: CallEntry) -> bool:
    return other.method == rule.method and rule.prefix.startswith(other.prefix)


def find_unused_entries(document: ServiceDocument) -> Iterator[Finding]:
    """Find failure domains and models that no server names.

    Args:
        document: A document without mistakes.

    Yields:
        One finding for each of them.
    """
    used_domains = {server.failure_domain for server in document.servers.values()}
    used_models = {server.model for server in document.servers.values()}
    remedy = "remove the section or name it in a [server NAME]"
    for name in document.domains:
        if name not in used_domains:
            section = f"failure-domain {name}"
            yield Finding(UNUSED_DOMAIN, section, "", f"has no server; {remedy}")
    for name in document.models:
        if name not in used_models:
            section = f"model {name}"
            yield Finding(UNUSED_MODEL, section, "", f"is on no server; {remedy}")


def find_unserved_calls(document: ServiceDocument) -> Iterator[Finding]:
    """Find reasons for which no call can be served.

    Args:
        document: A document without mistakes.

    Yields:
        The findings.
    """
    if not document.accounts:
        message = "has no account, so that every call is refused; add [account NAME]"
        yield Finding(NO_ACCOUNT, "service", "", message)
    if not any(document.is_usable(server) for server in document.servers.values()):
        message = (
            "has no server in service, so that no request is served; "
            "add a server, or set state = in for one and for its failure domain"
        )
        yield Finding(NO_USABLE_SERVER, "service", "", message)
    if document.kind == KIND_ENGINE and document.max_body_bytes == 0:
        message = "an engine gets no prompt without a body; raise max_body_bytes"
        yield Finding(NO_BODY, "service", "max_body_bytes", message)


def find_empty_keys(document: ServiceDocument) -> Iterator[Finding]:
    """Find accounts whose hash was made of an empty key.

    Args:
        document: A document without mistakes.

    Yields:
        One finding for each of them.
    """
    remedy = """set that of a key, as printf %s "$KEY" | sha256sum prints it"""
    for account in document.accounts.values():
        if account.key_sha256 in _EMPTY_KEY_HASHES:
            found = f"the hash {_EMPTY_KEY_HASHES[account.key_sha256]}"
            section = f"account {account.name}"
            yield Finding(EMPTY_KEY, section, "key_sha256", f"{found}; {remedy}")


def find_service_contradictions(document: ServiceDocument) -> Iterator[Finding]:
    """Find limits of [service] that make another limit or rule ineffective.

    Args:
        document: A document without mistakes.

    Yields:
        The findings.
    """
    timeout_ms = document.request_timeout_ms
    if document.kind == KIND_PLAIN and document.max_cost > timeout_ms:
        message = (
            f"{document.max_cost} ms is above request_timeout_ms, {timeout_ms}: no "
            "request has this cost, and the fairness bound is wider than needed; lower "
            f"max_cost to {timeout_ms} or raise request_timeout_ms"
        )
        yield Finding(UNREACHABLE_COST, "service", "max_cost", message)
    queue_bytes = document.queue_limit * document.max_body_bytes
    if queue_bytes > DEFAULT_MEMORY_MB * 1_000_000:
        message = (
            f"{document.queue_limit} bodies of max_body_bytes need "
            f"{queue_bytes // 1_000_000} MB, more than the default memory_mb of a "
            f"router, {DEFAULT_MEMORY_MB}: bodies are refused before the queue is "
            "full; lower queue_limit or max_body_bytes, or raise memory_mb of the "
            "routers"
        )
        yield Finding(QUEUE_MEMORY, "service", "queue_limit", message)
    if document.retry_budget_percent == 0:
        message = (
            "has no effect once a router's small reserve is used, since "
            "retry_budget_percent is 0; raise it or set repeatable = no"
        )
        for rule in document.calls:
            if rule.repeatable:
                yield Finding(NO_RETRIES, _section_of(rule), "repeatable", message)


def find_cold_limits(document: ServiceDocument) -> Iterator[Finding]:
    """Find servers whose load a cold start does not limit.

    Args:
        document: A document without mistakes.

    Yields:
        One finding for each server of several slots with as many cold slots.
    """
    message = (
        "equals slots, so that nothing limits the server in a cold start; lower it "
        "below slots"
    )
    for server in document.servers.values():
        if server.cold_slots == server.slots > 1:
            section = f"server {server.name}"
            yield Finding(COLD_LIMIT, section, "cold_slots", message)


def find_in_document(document: ServiceDocument) -> list[Finding]:
    """Find what this module can find, up to `MAX_FINDINGS`.

    Args:
        document: A document without mistakes.

    Returns:
        The findings, by kind. If there are more, the last one says so.
    """
    found = chain(
        find_unserved_calls(document),
        find_empty_keys(document),
        find_unused_entries(document),
        find_covered_rules(document),
        find_service_contradictions(document),
        find_cold_limits(document),
    )
    findings = list(islice(found, MAX_FINDINGS))
    if next(found, None) is not None:
        message = (
            f"has more than {MAX_FINDINGS} findings; correct these and check again"
        )
        findings.append(Finding(MORE_FINDINGS, "", "", message))
    return findings
