from __future__ import annotations

import pytest

from lagoonsail_lab.call_record import Attempt, Call, CallRecord
from lagoonsail_lab.checker import (
    INTERRUPTED,
    LOST,
    OVERLOADED,
    RAN_BUT_REPORTED_NOT_RUN,
    RAN_TWICE,
    RAN_WHILE_OUT,
    UNCLEAN_EXIT,
    WRONG_ANSWER,
    ColdTransition,
    Kill,
    Outage,
    PlannedStop,
    check_all,
)

OUTAGE = Outage(frozenset({"s/a"}), 1000.0, 2000.0)


def make_record(request_id, key="", **fields):
    repeatable = not key and fields.pop("is_repeatable", True)
    call = Call("s", "v", "c", "POST", "/x", b"", False, repeatable, key)
    values = {"status": 200, "started_wall_ms": 10.0, "ended_wall_ms": 20.0}
    return CallRecord(call, [Attempt(request_id, "r1", **{**values, **fields})])


def make_run(
    request_id, key="", state="whole", started_wall_ms=12.0, is_overload=False
):
    return {
        "request_id": request_id,
        "idempotency_key": key,
        "state": state,
        "started_wall_ms": started_wall_ms,
        "ended_wall_ms": started_wall_ms,
        "cold": is_overload,
        "running_at_start": 2 if is_overload else 1,
    }


def make_servers(*runs_of_a, b=(), overloads=0):
    return {
        "s/a": {"overloads": overloads, "runs": list(runs_of_a)},
        "s/b": {"overloads": 0, "runs": list(b)},
    }


def fault_kinds(records, servers, **options):
    faults = check_all(records, servers, [OUTAGE], 100.0, **options)
    return [fault.kind for fault in faults]


def test_correct_run_has_no_fault():
    retried = make_record("q2-a", "k2", status=503, ran="no")
    retried.attempts += make_record("q2-b").attempts
    records = [
        make_record("q1"),
        retried,
        make_record("q3", status=503, ran="no"),
        make_record("q4", ran="unknown", reason="broke off"),
        make_record("q5", "k5", status=502, ran="unknown"),
    ]
    servers = make_servers(
        make_run("q1"),
        make_run("q2-a", "k2", state="refused"),
        make_run("q2-b", "k2"),
        make_run("q4", state="cancelled", started_wall_ms=1100.0),
        # Repeatable calls may run more than once.
        b=[make_run("q1", state="broken"), make_run("q5", "k5", state="broken")],
    )
    assert fault_kinds(records, servers) == []


@pytest.mark.parametrize(
    "fields", [{"ran": "lost", "status": 0}, {"ran": "lost"}, {"ended_wall_ms": 0.0}]
)
def test_lost_call_is_found(fields):
    record = make_record("q1", **fields)
    assert LOST in fault_kinds([record], make_servers(make_run("q1")))


def test_call_without_any_attempt_is_lost():
    record = make_record("q1")
    record.attempts.clear()
    assert fault_kinds([record], make_servers()) == [LOST]


def test_kill_excuses_only_the_answers_of_that_router_at_that_time():
    record = make_record("q1", status=0, ran="lost")

    def faults_with_kill(router, wall_ms):
        return fault_kinds([record], make_servers(), kills=[Kill(router, wall_ms)])

    assert faults_with_kill("r1", 15.0) == []
    assert fault_kinds([record], make_servers(), kills=[Kill("r1", 5.0, 10.0)]) == []
    assert fault_kinds([record], make_servers(), kills=[Kill("r1", 5.0, 9.0)]) == [LOST]
    assert (
        faults_with_kill("r1", 25.0)
        == faults_with_kill("r1", 5.0)
        == faults_with_kill("r2", 15.0)
        == [LOST]
    )


@pytest.mark.parametrize("state", ["whole", "broken", "cancelled", "running"])
def test_second_run_with_an_idempotency_key_is_found(state):
    record = make_record("q1", "k1")
    servers = make_servers(make_run("q1", "k1"), b=[make_run("q1x", "k1", state)])
    assert fault_kinds([record], servers) == [RAN_TWICE]


def test_second_run_without_a_key_is_found_by_the_request():
    record = make_record("q1", is_repeatable=False)
    servers = make_servers(make_run("q1"), make_run("q1", state="broken"))
    assert fault_kinds([record], servers) == [RAN_TWICE]


@pytest.mark.parametrize("state", ["whole", "broken", "cancelled", "running"])
def test_run_of_a_call_reported_as_not_run_is_found(state):
    record = make_record("q1", status=503, ran="no")
    record.attempts += make_record("q2").attempts
    servers = make_servers(make_run("q1", state=state), make_run("q2"))
    assert fault_kinds([record], servers) == [RAN_BUT_REPORTED_NOT_RUN]


def test_answer_of_another_call_is_found():
    record = make_record("q1", reason="text of another prompt")
    assert fault_kinds([record], make_servers(make_run("q1"))) == [WRONG_ANSWER]


@pytest.mark.parametrize("states", [[], ["broken"], ["refused"]])
def test_whole_answer_that_no_server_gave_is_found(states):
    servers = make_servers(*(make_run("q1", state=state) for state in states))
    assert fault_kinds([make_record("q1")], servers) == [WRONG_ANSWER]


def test_cold_overload_is_found():
    assert fault_kinds([], make_servers(overloads=1)) == [OVERLOADED]


@pytest.mark.parametrize(
    ("at_ms", "expected"),
    [
        (999.0, []),
        (1100.0, []),
        (1101.0, [RAN_WHILE_OUT]),
        (1999.0, [RAN_WHILE_OUT]),
        (2000.0, []),
    ],
)
def test_new_work_on_a_server_that_is_out_is_found(at_ms, expected):
    runs = [make_run("q1", started_wall_ms=at_ms)]
    assert fault_kinds([], make_servers(*runs)) == expected
    assert fault_kinds([], make_servers(b=runs)) == []


def test_caller_that_disconnected_needs_no_answer():
    assert fault_kinds([make_record("q1", status=0, ran="gone")], make_servers()) == []


def test_lost_attempt_is_found_despite_a_retry():
    record = make_record("q1", "k1", status=0, ran="lost")
    record.attempts += make_record("q2").attempts
    assert fault_kinds([record], make_servers(make_run("q2", "k1"))) == [LOST]


@pytest.mark.parametrize(
    ("server", "became_cold_ms", "expected"),
    [
        ("s/a", 500.0, []),
        ("s/a", 399.0, [OVERLOADED]),
        ("s/a", 601.0, [OVERLOADED]),
        ("s/b", 500.0, [OVERLOADED]),
    ],
)
def test_overload_is_excused_only_soon_after_a_cold_transition(
    server, became_cold_ms, expected
):
    run = make_run("q1", state="broken", started_wall_ms=600.0, is_overload=True)
    cold_transitions = [ColdTransition(server, became_cold_ms)]
    servers = make_servers(run, overloads=1)
    assert (
        fault_kinds([], servers, cold_transitions=cold_transitions, detection_ms=200.0)
        == expected
    )
    # A second overload that appears in no run is not excused.
    servers = make_servers(run, overloads=2)
    assert OVERLOADED in fault_kinds(
        [], servers, cold_transitions=cold_transitions, detection_ms=200.0
    )


def test_planned_stop_must_end_with_0():
    stops = [PlannedStop("r1", 5.0, 25.0, code) for code in (0, 70, None)]
    found = fault_kinds([], make_servers(), stops=stops)
    assert found == [UNCLEAN_EXIT, UNCLEAN_EXIT]


@pytest.mark.parametrize(
    ("router", "state", "until_ms", "expected"),
    [
        ("r1", "whole", 25.0, [INTERRUPTED]),
        ("r1", "cancelled", 19.0, [INTERRUPTED]),
        # The server itself aborted the answer.
        ("r1", "broken", 25.0, []),
        ("r2", "whole", 25.0, []),
        ("r1", "whole", 9.0, []),
    ],
)
def test_answer_interrupted_by_a_planned_stop_is_found(
    router, state, until_ms, expected
):
    record = make_record("q1", ran="unknown", reason="ended early")
    servers = make_servers(make_run("q1", state=state))
    stops = [PlannedStop(router, 5.0, until_ms, 0)]
    assert fault_kinds([record], servers, stops=stops) == expected
