from __future__ import annotations

import json
import xml.etree.ElementTree

from lagoonsail_core.green import eventlet


def make_event(logical: int, router: str, name: str = "started", **fields) -> dict:
    common_fields = {"logical": logical, "wall_ms": 1000.0 * logical, "router": router}
    return {**common_fields, "event": name, **fields}


def test_events_of_all_routers_are_merged_in_one_order(run, fleet):
    fleet[0].events = [make_event(1, "r1"), make_event(5, "r1", server="a")]
    fleet[1].events = [make_event(3, "r2", request="q7", server="a")]
    code, output, _ = run("timeline")
    assert code == 0
    assert [event["logical"] for event in output["events"]] == [1, 3, 5]
    lines = run("timeline", json_output=False)[1].splitlines()
    assert lines[1].split()[1:] == ["3", "r2", "started", "request=q7", "server=a"]


def test_filters_must_all_match(run, fleet):
    fleet[0].events = [
        make_event(1, "r1", server="a", account="x"),
        make_event(2, "r1", server="a", account="y"),
        make_event(3, "r1", request="q7"),
        make_event(4, "r1", failure_domain="cordero/norte"),
        make_event(5, "r1", failure_domain="kalapati/norte"),
    ]

    def logical_times(*arguments):
        events = run("timeline", *arguments)[1]["events"]
        return [event["logical"] for event in events]

    assert logical_times("--server", "a") == [1, 2]
    assert logical_times("--server", "a", "--account", "y") == [2]
    assert logical_times("--request", "q7") == [3]
    assert logical_times("--domain", "norte") == [4, 5]
    assert logical_times("--domain", "cordero/norte") == [4]


def test_formats(run, fleet):
    fleet[0].events = [make_event(1, "r1", server="<a>")]
    fleet[1].stop()
    code, output, error = run("timeline", "--format", "json", json_output=False)
    assert [json.loads(line) for line in output.splitlines()] == fleet[0].events
    assert "no events of r2" in error
    code, output, _ = run("timeline", "--format", "svg", json_output=False)
    assert xml.etree.ElementTree.fromstring(output).tag.endswith("svg")
    assert run("timeline", "--format", "svg", "--follow")[0] == 2


def test_followed_events_are_json_lines_for_programs(run, fleet, monkeypatch, capsys):
    def interrupt(seconds=0):
        if seconds:
            raise KeyboardInterrupt

    monkeypatch.setattr(eventlet, "sleep", interrupt)
    fleet[0].events = [make_event(1, "r1")]
    _, output, _ = run("timeline", "--follow", "--json", json_output=False)
    lines = [json.loads(line) for line in output.splitlines()]
    assert lines == [*fleet[0].events, {"no_answer": {}}]


def test_malformed_events_of_one_router_hide_no_others(run, fleet):
    fleet[0].events = [{"logical": 1}]
    fleet[1].events = [make_event(2, "r2")]
    code, output, _ = run("timeline")
    assert [event["router"] for event in output["events"]] == ["r2"]
    assert list(output["no_answer"]) == ["r1"]


def test_follow_shows_each_event_once_also_of_a_restarted_router(
    run, fleet, monkeypatch, capsys
):
    def record_later():
        fleet[1].events.append(make_event(4, "r2", "later"))

    def restart():
        # The logical clock of the new incarnation may be behind, too.
        fleet[0].status["incarnation"] = 2
        fleet[0].events = [make_event(2, "r1", "restarted")]
        fleet[0].is_answering = True

    def restart_between_polls():
        fleet[1].status["incarnation"] = 2
        events = [make_event(number, "r2", f"again-{number}") for number in (1, 4)]
        fleet[1].events = events

    def stop_answering():
        fleet[0].is_answering = False

    def interrupt():
        raise KeyboardInterrupt

    changes = [record_later, stop_answering, restart, restart_between_polls]
    remaining_changes = iter([*changes, lambda: None, interrupt])
    sleep = eventlet.sleep

    def sleep_and_change(seconds=0):
        if seconds:
            next(remaining_changes)()
        sleep(0)

    monkeypatch.setattr(eventlet, "sleep", sleep_and_change)
    fleet[0].events = [make_event(9, "r1", "first")]
    code, output, _ = run("timeline", "--follow", json_output=False)
    assert code == 0
    names = [line.split()[3] for line in output.splitlines()]
    assert names == ["first", "later", "restarted", "again-1", "again-4"]


def test_store_may_be_down_when_routers_are_named(run, store, fleet):
    fleet[0].events = [make_event(1, "r1")]
    store.control(mode="down")
    addresses = ",".join(router.address for router in fleet)
    code, output, _ = run("timeline", "--routers", addresses, "--timeout-ms", 500)
    assert (code, len(output["events"])) == (0, 1)
    assert run("timeline", "--timeout-ms", 300)[0] == 3
