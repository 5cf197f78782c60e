from __future__ import annotations

import pytest

KEY = "documents/cordero/asistente"
SHARD = "cordero/asistente@sierra-central"


def describe_shard(running: int, waiting: int) -> dict:
    server = {"limit": 4, "running": running, "state": "in", "failure_domain": "norte"}
    account = {"share": 1.0, "service": 0.0, "waiting": waiting, "running": running}
    servers = {"asistente-1": {**server, "warm": True}}
    return {"epoch": 1, "servers": servers, "accounts": {"club-norte": account}}


def test_deleted_document_is_empty_and_handed_out(run, store, fleet, document):
    revision = store.put(KEY, document)
    # Requests of another service do not matter.
    fleet[0].status["waiting"] = {"cordero/avisos": 3}
    code, output, _ = run("delete", "cordero/asistente", revision, "--wait-s", 5)
    assert (code, output["in_force_on"]) == (0, 2)
    entry = store.get(KEY)
    assert (entry.value, entry.revision) == ("", output["revision"])
    pushed = {"key": KEY, "revision": entry.revision, "value": ""}
    assert fleet[0].pushed == [pushed]
    # Repeating it after an unanswered write changes nothing.
    code, output, _ = run("delete", "cordero/asistente", revision)
    assert (code, output["revision"]) == (0, entry.revision)
    assert run("get", "cordero/asistente")[0] == 2
    assert run("delete", "cordero/registro", 1)[0] == 2


def test_other_revision_is_left(run, store, fleet, document):
    revision = store.put(KEY, document)
    code, output, _ = run("delete", "cordero/asistente", revision - 1, "--force")
    assert (code, output["revision"]) == (4, revision)
    assert store.get(KEY).value == document


@pytest.mark.parametrize(
    ("status", "line"),
    [
        ({"shards": {SHARD: describe_shard(2, 0)}}, f"{SHARD}: 2 running, 0 waiting"),
        ({"shards": {SHARD: describe_shard(0, 5)}}, f"{SHARD}: 0 running, 5 waiting"),
        ({"waiting": {"cordero/asistente": 1}}, "r1: 1 waiting at the entry"),
        (None, "not known of r1: status 503: '{}'"),
    ],
    ids=["running", "waiting", "at_entry", "silent"],
)
def test_service_in_use_is_deleted_only_by_force(
    run, store, fleet, document, status, line
):
    revision = store.put(KEY, document)
    fleet[0].status |= status or {}
    fleet[0].is_answering = status is not None
    code, output, _ = run("delete", "cordero/asistente", revision)
    assert (code, output["in_use"]) == (7, [line])
    assert "--force" in output["remedy"]
    assert store.get(KEY).value == document
    assert run("delete", "cordero/asistente", revision, "--force")[0] == 0
    assert store.get(KEY).value == ""
