"""Messages for wrong input, and for routers or a store that do not answer."""

from __future__ import annotations

import json

import pytest

from lagoonsail_ctl.main import main


@pytest.mark.parametrize(
    ("argv", "problem"),
    [
        (["wait", "cordero/asistente", "abc"], "argument revision: invalid int"),
        (["timeline", "--format", "xml"], "argument --format: invalid choice: 'xml'"),
        (["status", "more"], "unrecognized arguments: more"),
        (["bogus"], "invalid choice: 'bogus'"),
    ],
)
def test_wrong_usage_is_json_for_programs(capsys, argv, problem):
    with pytest.raises(SystemExit) as exit_info:
        main([*argv, "--json"])
    assert exit_info.value.code == 2
    captured = capsys.readouterr()
    error = json.loads(captured.out)
    assert (error["error"], error["exit_code"]) == ("UsageError", 2)
    assert problem in error["problem"]
    assert captured.err == ""


def test_wrong_usage_shows_people_the_usage(capsys):
    with pytest.raises(SystemExit) as exit_info:
        main(["wait", "cordero/asistente", "abc"])
    assert exit_info.value.code == 2
    captured = capsys.readouterr()
    assert captured.err.startswith("usage: lagoonctl wait")
    assert captured.out == ""


def test_help_is_text_also_for_programs(capsys):
    with pytest.raises(SystemExit) as exit_info:
        main(["status", "--help", "--json"])
    assert exit_info.value.code == 0
    assert capsys.readouterr().out.startswith("usage: lagoonctl status")


def test_unknown_service_and_side_are_named(run, store, document):
    store.put("documents/cordero/asistente", document)
    code, output, _ = run("server-out", "cordero/nope/x-1")
    assert (code, output["problem"]) == (2, "there is no document of cordero/nope")
    code, output, _ = run("domain-out", "nope/norte")
    assert (code, output["problem"]) == (2, "no service of the side 'nope'")
    code, output, _ = run("server-out", "cordero/asistente/x-1")
    assert "asistente-1, asistente-2" in output["remedy"]
    code, output, _ = run("domain-out", "cordero/nope")
    assert output["remedy"] == "use one of: norte, puyo"


def test_wait_for_an_unknown_service_says_that_it_is_not_there(run, fleet):
    key = "documents/cordero/nope"
    fleet[0].status["configuration"] = {key: 1}
    code, output, _ = run("wait", "cordero/nope", 3, "--timeout-s", 0)
    assert (code, [item["reason"] for item in output["lagging"]]) == (
        5,
        [f"{key} is at revision 1", f"{key} is at revision 0, which is none"],
    )


def test_filter_that_matches_nothing_says_so(run, fleet):
    fleet[0].events = [
        {"logical": 1, "wall_ms": 5.0, "router": "r1", "event": "started"}
    ]
    code, text, error = run("timeline", "--domain", "cordero/nope", json_output=False)
    assert (code, text) == (0, "")
    assert "none of the 1 events" in error
    assert "failure_domain cordero/nope" in error
    assert run("timeline", json_output=False)[2] == ""


def test_show_without_an_answer_shows_no_empty_tables(run, fleet):
    for router in fleet:
        router.is_answering = False
    code, text, error = run("show", json_output=False)
    assert code == 6
    assert [line.partition(":")[0] for line in text.splitlines()] == [
        "no status of r1",
        "no status of r2",
    ]
    assert "none of 2 routers answered" in error


def test_file_that_is_not_there_is_named_once(run, tmp_path):
    path = tmp_path / "none.ini"
    code, _, error = run("check", path, json_output=False)
    assert code == 2
    assert error.count(str(path)) == 1
    assert "found No such file or directory" in error


def test_unanswered_read_has_changed_nothing(run, store):
    store.control(mode="silent")
    code, output, _ = run("domain-out", "cordero/norte", "--timeout-ms", 200)
    assert code == 3
    assert "carried out" not in output["problem"]
