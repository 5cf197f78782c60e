from __future__ import annotations

import math
from types import SimpleNamespace

import pytest

from lagoonsail_lab import recovery as recovery_module
from lagoonsail_lab.call_record import Attempt, Call, CallRecord
from lagoonsail_lab.checker import NOT_SERVED
from lagoonsail_lab.recovery import Recovery

SERVED = {"status": 200, "ended_wall_ms": math.inf}


def find_faults(*records):
    """Return the faults of a fleet with one service, two accounts and no routers."""
    service = SimpleNamespace(
        side="s", accounts={"big": 8.0, "small": 0.5}, qualified=lambda: "s/v"
    )
    fleet = SimpleNamespace(
        deployments=[SimpleNamespace(side="s", services=[service])],
        routers={},
        store="",
        fetch=lambda *_arguments: {"kvs": []},
    )
    observer = SimpleNamespace(record_event=lambda *_names, **_fields: None)
    faults = Recovery(fleet, observer, lambda: list(records), seed=1).check()
    return [(fault.kind, fault.subject) for fault in faults]


def make_record(account, **fields):
    call = Call("s", "v", account, "POST", "/x", b"")
    return CallRecord(call, [Attempt("q", "r1", **fields)])


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(recovery_module, "SERVE_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(recovery_module, "POLL_INTERVAL_S", 0.01)


def test_accounts_with_answers_after_the_faults_are_served():
    records = [make_record(account, **SERVED) for account in ("big", "small")]
    assert find_faults(*records) == []


@pytest.mark.parametrize(
    "fields", [{"status": 200, "ended_wall_ms": 1.0}, {**SERVED, "ran": "unknown"}]
)
def test_account_without_an_answer_after_the_faults_is_found(fields):
    records = [make_record("big", **SERVED), make_record("small", **fields)]
    assert find_faults(*records) == [(NOT_SERVED, "s/v/small")]


def test_answers_count_although_the_process_stood_still_until_the_timeout(monkeypatch):
    monkeypatch.setattr(recovery_module, "SERVE_TIMEOUT_MS", -1.0)
    records = [make_record(account, **SERVED) for account in ("big", "small")]
    assert find_faults(*records) == []
