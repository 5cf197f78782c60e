"""Schema of service documents: sections, keys and their allowed values."""

from __future__ import annotations

import re

from lagoonsail_config.call_path import normalise_path
from lagoonsail_config.checked_ini import IniError, KeySpec
from lagoonsail_config.ini_keys import (
    address_key,
    choice_key,
    decimal_key,
    name_key,
    number_key,
    pattern_key,
)
from lagoonsail_core.names import NAME_PATTERN

MAX_DOCUMENT_BYTES = 1_000_000
"""Largest document; the key-value service accepts values of up to a megabyte."""

STATE_IN = "in"
"""The server or failure domain gets new requests."""
STATE_OUT = "out"
"""The server or failure domain gets no new requests."""

KIND_ENGINE = "engine"
"""A service of model engines; cost is counted in tokens."""
KIND_PLAIN = "plain"
"""A service that is not a model engine; cost is counted in milliseconds."""

REPEATABLE_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
"""Methods whose calls may be repeated unless a rule of the document forbids it."""

COMPLETIONS_PATH = "/v1/completions"
"""Path of an engine whose POST may be repeated unless a rule forbids it."""

HASH_PATTERN = re.compile("[0-9a-f]{64}")
"""SHA-256 in lower-case hex."""

SHOWN_HASH_DIGITS = 16
"""Leading digits of a key's hash that a description of changes shows."""

DEFAULT_DOCUMENT_NAME = "document"
"""Name in problems of a document that was not read from a file."""

NONE = "none"
"""Value for a server without a model or role, or a model without adapters."""

ROLES = ("mixed", "prefill", "decode")
"""Roles of a model engine: both phases of a request, or only one of them."""

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
    KeySpec("model", _read_model, "a [model NAME] of this document, or none", NONE),
    choice_key("role", {NONE: "", **{role: role for role in ROLES}}, NONE),
)
"""Keys of [server NAME]."""

MODEL_KEYS = (
    pattern_key(
        "version",
        "[A-Za-z0-9][A-Za-z0-9._-]{0,62}",
        "1 to 63 of A-Z, a-z, 0-9, dot, _ and hyphen, first a letter or digit",
    ),
    KeySpec("adapters", _read_adapters, "distinct names with commas, or none", NONE),
)
"""Keys of [model NAME]."""

ACCOUNT_KEYS = (
    decimal_key("share", 0.001, 1_000_000, "parts"),
    pattern_key("key_sha256", HASH_PATTERN.pattern, "64 hex digits in lower case"),
)
"""Keys of [account NAME]."""

CALL_KEYS = (choice_key("repeatable", _YES_NO),)
"""Keys of [calls METHOD /PREFIX]."""

SECTION_KEYS: dict[str, tuple[KeySpec, ...]] = {
    "service": SERVICE_KEYS,
    "failure-domain": DOMAIN_KEYS,
    "server": SERVER_KEYS,
    "model": MODEL_KEYS,
    "account": ACCOUNT_KEYS,
    "calls": CALL_KEYS,
}
"""Keys by the first word of the section name."""

ALLOWED_SECTIONS = (
    "[service], [failure-domain NAME], [server NAME], [model NAME], "
    "[account NAME], [calls METHOD /PREFIX]"
)
"""Allowed sections, as shown in problems."""


class DocumentError(IniError):
    """A service document with at least one mistake."""


def split_section_name(name: str) -> tuple[str, str] | None:
    """Split the name of a section into the kind and the name of its object.

    Args:
        name: Text between the brackets, with white space collapsed.

    Returns:
        Kind and name of the object, or None if documents have no such section.
    """
    kind, _, object_name = name.partition(" ")
    if kind == "service":
        return (kind, "") if not object_name else None
    if kind == "calls":
        method, _, prefix = object_name.partition(" ")
        is_known = method in _METHODS and re.fullmatch(r"/[^\s?#]*", prefix)
        return (
            (kind, object_name)
            if is_known and prefix == normalise_path(prefix)
            else None
        )
    if kind in SECTION_KEYS and NAME_PATTERN.fullmatch(object_name):
        return kind, object_name
    return None
