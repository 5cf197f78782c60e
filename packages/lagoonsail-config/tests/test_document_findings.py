from __future__ import annotations

import hashlib
import tracemalloc
from pathlib import Path

import pytest

from lagoonsail_config.document import parse_document
from lagoonsail_config.document_findings import MAX_FINDINGS, find_in_document
from lagoonsail_config.document_schema import MAX_DOCUMENT_BYTES

EXAMPLES = sorted(
    (Path(__file__).resolve().parents[3] / "deploy" / "documents").glob("*.ini")
)
HASH = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
SERVICE = "region = sierra-central\n"
PLAIN = ("kind = engine", "kind = plain")
MAX_MEMORY_BYTES = 4_000_000
"""Memory that the findings of a document of the largest size may use."""


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


def make_nested_rules(count):
    """Return rules of which each covers all that follow."""
    return "".join(
        f"[calls PUT /{'a' * depth}]\nrepeatable = no\n" for depth in range(1, count)
    )


def make_sibling_rules(count):
    """Return rules of which the first covers the others, which do not cover any."""
    siblings = (f"[calls PUT /p/{n:05}]\nrepeatable = no\n" for n in range(count))
    return "[calls PUT /p]\nrepeatable = no\n" + "".join(siblings)


def make_unused_domains(count):
    return "".join(f"[failure-domain d{n:05}]\n" for n in range(count))


@pytest.mark.parametrize(
    ("make_entries", "count", "kind"),
    [
        (make_nested_rules, 1350, "covered_rule"),
        (make_sibling_rules, 25_000, "covered_rule"),
        (make_unused_domains, 40_000, "unused_domain"),
    ],
)
def test_findings_of_a_hostile_document_are_bounded(
    document_text, make_entries, count, kind
):
    """Guards against memory and output that grow with the entries of a document."""
    text = document_text + make_entries(count)
    assert 0.9 * MAX_DOCUMENT_BYTES < len(text) <= MAX_DOCUMENT_BYTES
    document = parse_document(text)
    tracemalloc.start()
    findings = find_in_document(document)
    _, most_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kinds = [item.kind for item in findings]
    assert kinds == [kind] * MAX_FINDINGS + ["more_findings"]
    assert most_bytes < MAX_MEMORY_BYTES


def test_exactly_the_listed_findings_are_no_more(document_text):
    """Guards against a remark on further findings that do not exist."""
    found = find(document_text + make_unused_domains(MAX_FINDINGS))
    assert [kind for kind, _, _ in found] == ["unused_domain"] * MAX_FINDINGS


def test_rules_between_a_rule_and_the_one_that_covers_it(document_text):
    """Guards against comparison with a neighbour in the order of prefixes alone."""
    rules = "".join(
        f"[calls PUT /r{rest}]\nrepeatable = {value}\n"
        for rest, value in [("/b", "no"), ("", "no"), ("/a/x", "yes"), ("/a", "yes")]
    )
    assert find(document_text + rules) == [
        ("covered_rule", "calls PUT /r/b", ""),
        ("covered_rule", "calls PUT /r/a/x", ""),
    ]
