from __future__ import annotations

import pytest

from lagoonsail_config.document import parse_document
from lagoonsail_core.green import eventlet
from lagoonsail_ctl import documents as documents_module
from lagoonsail_ctl.documents import Documents, StoredDocument, first_batch

FIRST = "documents/cordero/asistente"
SECOND = "documents/cordero/registro"


def test_domain_changes_all_documents_of_the_side_together(
    run, store, fleet, document, second_document
):
    store.put(FIRST, document)
    store.put(SECOND, second_document)
    other_side = document.replace("side = cordero", "side = kalapati")
    store.put("documents/kalapati/asistente", other_side)
    code, output, _ = run("domain-out", "cordero/norte", "--wait-s", 5)
    assert (code, output["in_force_on"]) == (0, 2)
    assert output["changed"] == [FIRST, SECOND]
    assert output["revisions"][FIRST] == output["revisions"][SECOND]
    for key, text in ((FIRST, document), (SECOND, second_document)):
        assert store.get(key).value == text.replace("state = in", "state = out")
    assert store.get("documents/kalapati/asistente").value == other_side
    assert [item["key"] for item in fleet[0].pushed] == [FIRST, SECOND]
    assert run("domain-out", "cordero/norte")[1]["changed"] == []
    assert run("domain-in", "cordero/norte")[0] == 0
    assert store.get(FIRST).value == document


def test_server_out_and_in(run, store, document):
    store.put(FIRST, document)
    code, output, _ = run(
        "server-out", "cordero/asistente/asistente-2", json_output=False
    )
    assert code == 0
    assert "1 of 2 backend servers are in service" in output
    parsed = parse_document(store.get(FIRST).value)
    assert [server.state for server in parsed.servers.values()] == ["in", "out"]
    assert run("server-in", "cordero/asistente/asistente-2")[0] == 0
    parsed = parse_document(store.get(FIRST).value)
    assert [server.state for server in parsed.servers.values()] == ["in", "in"]


@pytest.mark.parametrize(
    "arguments",
    [
        ("domain-out", "cordero/missing"),
        ("domain-out", "norte"),
        ("domain-out", "cordero/NORTE"),
        ("server-out", "cordero/asistente"),
        ("server-in", "cordero/asistente/missing"),
        ("server-in", "cordero/missing/asistente-1"),
        ("get", "cordero/missing"),
        ("wait", "cordero", 4),
        ("wait", "cordero/asistente", 0),
    ],
)
def test_bad_names_are_refused_with_a_remedy(run, store, document, arguments):
    revision = store.put(FIRST, document)
    code, output, _ = run(*arguments)
    assert code == 2
    assert output["remedy"]
    assert store.get(FIRST).revision == revision


def test_concurrent_changes_by_operators_are_not_lost(
    run, store, document, monkeypatch
):
    store.put(FIRST, document)
    replace = Documents.replace
    concurrent_shares = iter(["share = 4", "share = 5"])

    def replace_after_concurrent_change(self, documents):
        share_line = next(concurrent_shares, None)
        if share_line:
            store.put(FIRST, store.get(FIRST).value.replace("slots = 8", "slots = 7"))
            share = store.get(FIRST).value.partition("share = ")[2][0]
            text = store.get(FIRST).value.replace(f"share = {share}", share_line)
            store.put(FIRST, text)
        return replace(self, documents)

    monkeypatch.setattr(Documents, "replace", replace_after_concurrent_change)
    assert run("domain-out", "cordero/norte")[0] == 0
    parsed = parse_document(store.get(FIRST).value)
    assert parsed.domains["norte"].state == "out"
    assert parsed.accounts["club-norte"].share == 5
    assert parsed.servers["asistente-1"].slots == 7


def test_repeated_conflicts_end_in_an_error(run, store, document, monkeypatch):
    store.put(FIRST, document)
    conflict = documents_module.Conflict(None)
    monkeypatch.setattr(Documents, "replace", lambda self, documents: conflict)
    monkeypatch.setattr(eventlet, "sleep", lambda seconds: None)
    assert run("domain-out", "cordero/norte")[0] == 4
    assert store.get(FIRST).value == document


def test_batches_keep_to_the_limits_of_a_transaction():
    large = [StoredDocument(f"k{i}", 1, "x" * 600_000) for i in range(3)]
    assert first_batch(large) == large[:1]
    small = [StoredDocument(f"k{i}", 1, "x") for i in range(250)]
    assert first_batch(small) == small[:100]


def test_large_documents_are_changed_in_several_transactions(
    run, store, document, second_document
):
    filler = "#" * 600_000
    store.put(FIRST, document + filler)
    store.put(SECOND, second_document + filler)
    code, output, _ = run("domain-out", "cordero/norte")
    assert (code, output["changed"]) == (0, [FIRST, SECOND])
    assert output["revisions"][FIRST] == store.get(FIRST).revision
    assert "state = out" in store.get(SECOND).value
