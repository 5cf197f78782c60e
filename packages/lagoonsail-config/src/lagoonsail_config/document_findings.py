"""Finds entries of a service document that are valid but cannot take effect.

Answers configurations that apply accepts and that fail or do nothing at run time: rules
that another rule covers, failure domains without servers, limits that contradict.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_config.document_schema import KIND_ENGINE, KIND_PLAIN
from lagoonsail_config.settings import DEFAULT_MEMORY_MB

if TYPE_CHECKING:
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


def find_covered_rules(document: ServiceDocument) -> list[Finding]:
    """Find rules that decide as the longest shorter prefix would without them.

    A rule that states the default of its method is not reported: it documents the
    intention, and protects the calls if a more general rule is added.

    Args:
        document: A document without mistakes.

    Returns:
        One finding for each such rule.
    """
    findings = []
    for rule in document.calls:
        covering = [
            other
            for other in document.calls
            if other is not rule
            and other.method == rule.method
            and rule.prefix.startswith(other.prefix)
        ]
        nearest = max(covering, key=lambda other: len(other.prefix), default=None)
        if nearest is None or nearest.repeatable != rule.repeatable:
            continue
        message = (
            f"has no effect: [{_section_of(nearest)}] covers these calls with the same "
            "value; remove the section or change its value"
        )
        findings.append(Finding(COVERED_RULE, _section_of(rule), "", message))
    return findings


def find_unused_entries(document: ServiceDocument) -> list[Finding]:
    """Find failure domains and models that no server names.

    Args:
        document: A document without mistakes.

    Returns:
        One finding for each of them.
    """
    used_domains = {server.failure_domain for server in document.servers.values()}
    used_models = {server.model for server in document.servers.values()}
    remedy = "remove the section or name it in a [server NAME]"
    domain_findings = [
        Finding(UNUSED_DOMAIN, f"failure-domain {name}", "", f"has no server; {remedy}")
        for name in document.domains
        if name not in used_domains
    ]
    model_findings = [
        Finding(UNUSED_MODEL, f"model {name}", "", f"is on no server; {remedy}")
        for name in document.models
        if name not in used_models
    ]
    return domain_findings + model_findings


def find_unserved_calls(document: ServiceDocument) -> list[Finding]:
    """Find reasons for which no call can be served.

    Args:
        document: A document without mistakes.

    Returns:
        The findings.
    """
    findings = []
    if not document.accounts:
        message = "has no account, so that every call is refused; add [account NAME]"
        findings.append(Finding(NO_ACCOUNT, "service", "", message))
    if not any(document.is_usable(server) for server in document.servers.values()):
        message = (
            "has no server in service, so that no request is served; "
            "add a server, or set state = in for one and for its failure domain"
        )
        findings.append(Finding(NO_USABLE_SERVER, "service", "", message))
    if document.kind == KIND_ENGINE and document.max_body_bytes == 0:
        message = "an engine gets no prompt without a body; raise max_body_bytes"
        findings.append(Finding(NO_BODY, "service", "max_body_bytes", message))
    return findings


def find_empty_keys(document: ServiceDocument) -> list[Finding]:
    """Find accounts whose hash was made of an empty key.

    Args:
        document: A document without mistakes.

    Returns:
        One finding for each of them.
    """
    remedy = """set that of a key, as printf %s "$KEY" | sha256sum prints it"""
    return [
        Finding(
            EMPTY_KEY,
            f"account {account.name}",
            "key_sha256",
            f"the hash {_EMPTY_KEY_HASHES[account.key_sha256]}; {remedy}",
        )
        for account in document.accounts.values()
        if account.key_sha256 in _EMPTY_KEY_HASHES
    ]


def find_service_contradictions(document: ServiceDocument) -> list[Finding]:
    """Find limits of [service] that make another limit or rule ineffective.

    Args:
        document: A document without mistakes.

    Returns:
        The findings.
    """
    findings = []
    timeout_ms = document.request_timeout_ms
    if document.kind == KIND_PLAIN and document.max_cost > timeout_ms:
        message = (
            f"{document.max_cost} ms is above request_timeout_ms, {timeout_ms}: no "
            "request has this cost, and the fairness bound is wider than needed; lower "
            f"max_cost to {timeout_ms} or raise request_timeout_ms"
        )
        findings.append(Finding(UNREACHABLE_COST, "service", "max_cost", message))
    queue_bytes = document.queue_limit * document.max_body_bytes
    if queue_bytes > DEFAULT_MEMORY_MB * 1_000_000:
        message = (
            f"{document.queue_limit} bodies of max_body_bytes need "
            f"{queue_bytes // 1_000_000} MB, more than the default memory_mb of a "
            f"router, {DEFAULT_MEMORY_MB}: bodies are refused before the queue is "
            "full; lower queue_limit or max_body_bytes, or raise memory_mb of the "
            "routers"
        )
        findings.append(Finding(QUEUE_MEMORY, "service", "queue_limit", message))
    if document.retry_budget_percent == 0:
        message = (
            "has no effect once a router's small reserve is used, since "
            "retry_budget_percent is 0; raise it or set repeatable = no"
        )
        findings += [
            Finding(NO_RETRIES, _section_of(rule), "repeatable", message)
            for rule in document.calls
            if rule.repeatable
        ]
    return findings


def find_cold_limits(document: ServiceDocument) -> list[Finding]:
    """Find servers whose load a cold start does not limit.

    Args:
        document: A document without mistakes.

    Returns:
        One finding for each server of several slots with as many cold slots.
    """
    message = (
        "equals slots, so that nothing limits the server in a cold start; lower it "
        "below slots"
    )
    return [
        Finding(COLD_LIMIT, f"server {server.name}", "cold_slots", message)
        for server in document.servers.values()
        if server.cold_slots == server.slots > 1
    ]


def find_in_document(document: ServiceDocument) -> list[Finding]:
    """Find everything that this module can find.

    Args:
        document: A document without mistakes.

    Returns:
        The findings, by kind.
    """
    return [
        *find_unserved_calls(document),
        *find_empty_keys(document),
        *find_unused_entries(document),
        *find_covered_rules(document),
        *find_service_contradictions(document),
        *find_cold_limits(document),
    ]
