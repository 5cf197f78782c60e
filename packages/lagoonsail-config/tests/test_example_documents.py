from __future__ import annotations

from pathlib import Path

import pytest

from lagoonsail_config.document import parse_document
from lagoonsail_config.document_schema import SECTION_KEYS

ROOT = Path(__file__).resolve().parents[3]
EXAMPLES = sorted((ROOT / "deploy" / "documents").glob("*.ini"))
PAGE = (ROOT / "docs" / "SERVICE-DOCUMENT.md").read_text()


@pytest.fixture(scope="module")
def examples():
    documents = [parse_document(path.read_text(), path.name) for path in EXAMPLES]
    return {document.qualified(): document for document in documents}


def test_examples_cover_the_services_of_both_sides(examples):
    assert sorted(examples) == [
        "cordero/asistente",
        "cordero/avisos",
        "cordero/registro",
        "kalapati/avisos",
        "kalapati/clock-app",
        "kalapati/model-desk",
    ]
    assert [path.stem for path in EXAMPLES] == [
        name.replace("/", "-") for name in sorted(examples)
    ]


def test_equal_names_on_both_sides_stay_distinct(examples):
    first = examples["cordero/avisos"]
    second = examples["kalapati/avisos"]
    assert first.name == second.name
    assert "norte" in first.domains
    assert "norte" in second.domains
    key = "cordero/avisos/club-norte/example-key"
    assert first.find_account_by_key(key).name == "club-norte"
    assert "club-norte" in second.accounts
    assert not second.find_account_by_key(key)
    assert set(first.shards()).isdisjoint(second.shards())


def test_repeatable_calls_of_the_examples(examples):
    assert not examples["cordero/registro"].is_repeatable("PUT", "/bibs/7")
    assert examples["cordero/registro"].is_repeatable("POST", "/rosters/check")
    assert not examples["kalapati/clock-app"].is_repeatable("POST", "/arrivals")


@pytest.mark.parametrize("kind", SECTION_KEYS)
def test_page_states_range_and_default_of_every_key(kind):
    section = PAGE.partition(f"\n## `[{kind}")[2].partition("\n## ")[0]
    for key in SECTION_KEYS[kind]:
        (row,) = [
            line for line in section.splitlines() if line.startswith(f"| `{key.name}`")
        ]
        assert key.allowed in row
        default = {None: "required", "": "that of the service"}.get(
            key.default, f"`{key.default}`"
        )
        assert row.endswith(f"| {default} |")
