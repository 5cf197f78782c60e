from __future__ import annotations

import pytest

from lagoonsail_ctl.connection import load_connection
from lagoonsail_ctl.records import RecordError
from lagoonsail_ctl.router_status import decode_status

SHARD = "cordero/asistente@sierra-central"


def describe_shard(epoch: int) -> dict:
    return {
        "epoch": epoch,
        "servers": {
            "asistente-1": {
                "limit": 1,
                "running": 1,
                "state": "in",
                "failure_domain": "norte",
                "warm": False,
            }
        },
        "accounts": {
            "club-norte": {"share": 3, "service": 12.5, "waiting": 4, "running": 1}
        },
    }


def test_show_prefers_the_owner_with_the_later_epoch(run, fleet):
    fleet[0].status["shards"] = {SHARD: describe_shard(4)}
    fleet[1].status["shards"] = {SHARD: describe_shard(5)}
    for router in fleet:
        router.status["waiting"] = {"cordero/asistente": 2, "kalapati/avisos": 1}
    code, output, _ = run("show")
    assert code == 0
    (service,) = output["services"]
    assert (service["owner"], service["epoch"], service["waiting"]) == ("r2", 5, 4)
    assert output["accounts"][0]["service"] == 12.5
    assert output["servers"][0]["warm"] is False
    assert output["waiting_at_entry"] == {"cordero/asistente": 4, "kalapati/avisos": 2}
    assert run("show", "kalapati")[1]["services"] == []
    assert run("show", "cordero/asistente")[1]["waiting_at_entry"] == {
        "cordero/asistente": 4
    }
    text = run("show", json_output=False)[1]
    headings = [line for line in text.splitlines() if line.startswith("shard")]
    assert len(headings) == 3
    assert "no  " in text


def test_show_names_shards_without_an_owner(run, fleet):
    fleet[0].status["shards"] = {SHARD: describe_shard(4)}
    fleet[0].status["owners"] = {SHARD: "r1", "cordero/avisos@sierra-central": ""}
    fleet[1].status["owners"] = {"cordero/registro@sierra-central": "r7"}
    services = run("show", "cordero")[1]["services"]
    assert [(item["shard"], item["owner"]) for item in services] == [
        (SHARD, "r1"),
        ("cordero/avisos@sierra-central", ""),
        ("cordero/registro@sierra-central", "r7"),
    ]


def test_status_shows_members_owners_and_documents(run, store, fleet):
    store.put("members/r3", "{}")
    store.put(f"shards/{SHARD}", '{"owner": "r9", "epoch": 7, "state": "owned"}')
    fleet[0].status["shards"] = {SHARD: describe_shard(6)}
    key = "documents/cordero/asistente"
    fleet[0].status["configuration"] = {key: 9, "members/r1": 2}
    fleet[1].status["configuration"] = {key: 8}
    code, output, _ = run("status")
    assert code == 0
    assert [item["router"] for item in output["routers"]] == ["r1", "r2"]
    assert output["owners"] == [
        {
            "shard": SHARD,
            "owner": "r1",
            "epoch": 6,
            "recorded_owner": "r9",
            "recorded_epoch": 7,
        }
    ]
    assert output["documents"] == [
        {"document": key, "newest_revision": 9, "routers": 1, "of": 2}
    ]
    assert list(output["no_status"]) == ["r3"]
    assert "malformed entry" in output["no_status"]["r3"]


def test_empty_member_entry_marks_a_deleted_member(run, store, fleet):
    key = "documents/cordero/asistente"
    for router in fleet:
        router.status["configuration"] = {key: 11}
    store.put("members/r3", "")
    code, output, _ = run("status")
    assert (code, output["no_status"]) == (0, {})
    code, output, _ = run("wait", key, 11, "--timeout-s", 0)
    assert (code, output.get("in_force_on")) == (0, 2)


def test_views_work_without_the_store_when_routers_are_named(run, store, fleet):
    store.control(mode="down")
    assert run("status", "--timeout-ms", 300)[0] == 3
    addresses = ",".join(router.address for router in fleet)
    for command in ("status", "show"):
        code, output, _ = run(command, "--timeout-ms", 300, "--routers", addresses)
        assert code == 0
        assert output["no_status"] == {}


def test_wait_checks_all_members(run, store, fleet):
    key = "documents/cordero/asistente"
    for router in fleet:
        router.status["configuration"] = {key: 12}
    code, output, _ = run("wait", "cordero/asistente", 11, "--timeout-s", 2)
    assert (code, output["in_force_on"]) == (0, 2)
    code, output, _ = run("wait", f"/lagoonsail/{key}", 13, "--timeout-s", 0)
    assert code == 5
    assert [item["router"] for item in output["lagging"]] == ["r1", "r2"]
    code, _, error = run("wait", key, 13, "--timeout-s", 0, json_output=False)
    assert f"  r2: {key} is at revision 12" in error
    store.put("members/r3", "not JSON")
    code, output, _ = run("wait", key, 11, "--timeout-s", 0)
    assert (code, [item["router"] for item in output["lagging"]]) == (5, ["r3"])


def test_no_member_is_not_in_force(run):
    assert run("wait", "cordero/asistente", 1, "--timeout-s", 0)[0] == 5


def test_wrong_key_is_refused_by_routers(run, fleet, tmp_path):
    (tmp_path / "wrong").write_text("fedcba9876543210")
    code, output, _ = run("status", "--key-file", tmp_path / "wrong")
    assert code == 6
    assert output["error"] == "NoRouterError"
    assert "signature_wrong" in output["no_status"]["r1"]
    assert fleet[0].refused == 1
    for command in ("show", "timeline"):
        assert run(command, "--key-file", tmp_path / "wrong")[0] == 6
    # One router that answers is enough.
    fleet[1].stop()
    assert run("status")[0] == 0


def test_unknown_service_is_bad_input_and_empty_tables_have_notes(run, fleet):
    fleet[0].status["configuration"] = {"documents/cordero/asistente": 3}
    code, output, _ = run("show", "cordero/nope")
    assert (code, "cordero/asistente" in output["remedy"]) == (2, True)
    code, text, _ = run("show", "cordero/asistente", json_output=False)
    assert code == 0
    assert [line for line in text.splitlines() if line] == [
        "(no shards)",
        "(no backend servers)",
        "(no client accounts)",
        "(no requests wait at entry routers)",
    ]


def test_all_mistakes_in_settings_are_listed(run, settings_file):
    settings_file.write_text("[lagoonctl]\nstore = here\ncolour = red\n[other]\n")
    code, output, _ = run("status")
    assert code == 2
    found = [(item["section"], item["key"]) for item in output["problems"]]
    assert sorted(found) == [
        ("lagoonctl", "colour"),
        ("lagoonctl", "store"),
        ("other", ""),
    ]


def test_options_override_the_settings_file(settings_file):
    options = {"store": "127.0.0.1:1,127.0.0.1:2", "timeout_ms": "77"}
    connection = load_connection(settings_file, options)
    assert connection.store_endpoints == ["127.0.0.1:1", "127.0.0.1:2"]
    assert connection.timeout_ms == 77
    assert connection.shared_key == b"0123456789abcdef"
    assert load_connection(None, {}).prefix == "/lagoonsail/"


def test_unknown_command_is_bad_input(run):
    with pytest.raises(SystemExit) as caught:
        run("frobnicate")
    assert caught.value.code == 2


@pytest.mark.parametrize("body", [None, [], {}, {"shards": {"s": 1}}, {"shards": []}])
def test_malformed_status_is_refused(body):
    with pytest.raises(RecordError):
        decode_status(body)
