from __future__ import annotations

import hashlib
from pathlib import Path

import pytest

from lagoonsail_config.document import parse_document
from lagoonsail_config.document_findings import find_in_document

EXAMPLES = sorted(
    (Path(__file__).resolve().parents[3] / "deploy" / "documents").glob("*.ini")
)
HASH = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
SERVICE = "region = sierra-central\n"
PLAIN = ("kind = engine", "kind = plain")


def find(text, *replacements):
    for old, new in replacements:
        assert old in text
        text = text.replace(old, new)
    findings = find_in_document(parse_document(text))
    return [(item.kind, item.section, item.key) for item in findings]


def in_service(lines):
    return (SERVICE, SERVICE + lines)


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.name)
def test_examples_have_no_findings(path):
    """Guards against findings on documents that are right."""
    assert find(path.read_text()) == []


def test_rule_is_covered_only_by_the_nearest_rule_of_its_method(document_text):
    """Guards against calling a rule without effect whose removal changes a call."""
    assert find(document_text) == []
    section = "calls POST /bibs/preview"
    assert find(document_text, ("repeatable = yes", "repeatable = no")) == [
        ("covered_rule", section, "")
    ]
    deeper = document_text + "[calls POST /bibs/preview/x]\nrepeatable = no\n"
    assert find(deeper) == []
    assert find(document_text + "[calls PUT /bibs/x]\nrepeatable = no\n") == []


def test_entries_that_no_server_names(document_text):
    """Guards against a failure domain or model that is left over after an edit."""
    unused = "[failure-domain ambato]\n[model pilot]\nversion = 1\n"
    assert find(document_text + unused) == [
        ("unused_domain", "failure-domain ambato", ""),
        ("unused_model", "model pilot", ""),
    ]


def test_service_that_serves_nobody(document_text):
    """Guards against documents that apply accepts and that refuse every call."""
    no_account = document_text[: document_text.index("[account")]
    assert find(no_account) == [("no_account", "service", "")]
    out = ("[failure-domain banos]", "[failure-domain banos]\nstate = out")
    assert find(document_text, out) == [("no_usable_server", "service", "")]
    no_body = in_service("max_body_bytes = 0\n")
    expected = [("no_body", "service", "max_body_bytes")]
    assert find(document_text, no_body) == expected
    assert find(document_text, no_body, PLAIN) == []


@pytest.mark.parametrize("key", [b"", b"\n"])
def test_hash_of_an_empty_key(document_text, key):
    """Guards against an account that needs no key, or that no caller can use."""
    empty = hashlib.sha256(key).hexdigest()
    expected = [("empty_key", "account club-norte", "key_sha256")]
    assert find(document_text, (HASH, empty)) == expected


def test_limits_that_contradict(document_text):
    """Guards against a limit that another one makes ineffective, at its boundary."""
    cost = [("unreachable_cost", "service", "max_cost")]
    assert find(document_text, PLAIN, in_service("request_timeout_ms = 4095\n")) == cost
    assert find(document_text, PLAIN, in_service("request_timeout_ms = 4096\n")) == []
    assert find(document_text, in_service("request_timeout_ms = 4095\n")) == []
    memory = [("queue_memory", "service", "queue_limit")]
    assert find(document_text, in_service("queue_limit = 513\n")) == memory
    assert find(document_text, in_service("queue_limit = 512\n")) == []
    retries = [("no_retries", "calls POST /bibs/preview", "repeatable")]
    assert find(document_text, in_service("retry_budget_percent = 0\n")) == retries
    cold = [("cold_limit", "server asistente-2", "cold_slots")]
    assert find(document_text, ("cold_slots = 2", "cold_slots = 8")) == cold


def test_one_slot_is_no_cold_limit(document_text):
    """Guards against a finding that no document with one slot could avoid."""
    one = [("slots = 8\ncold_slots = 2", "slots = 1"), ("slots = 8", "slots = 1")]
    assert find(document_text, *one) == []
