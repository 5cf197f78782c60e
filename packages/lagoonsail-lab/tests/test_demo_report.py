from __future__ import annotations

from math import inf

import pytest

from lagoonsail_lab.call_record import Attempt, CallRecord
from lagoonsail_lab.caller import make_prompt
from lagoonsail_lab.checker import LOST, Fault
from lagoonsail_lab.demo_load import count_callers
from lagoonsail_lab.demo_report import cost_per_share_ratio, print_verdict
from lagoonsail_lab.deployments import make_cordero


@pytest.fixture
def engine():
    return make_cordero().find("asistente")


def make_record(account, cost, **fields):
    call = make_prompt("cordero", "asistente", account, 1, False, "x")
    return CallRecord(
        call, [Attempt("q1", "r1", **{"status": 200, **fields}, cost=cost)]
    )


def test_ratio_compares_largest_and_smallest_cost_per_share(engine):
    records = [make_record(name, 10 * share) for name, share in engine.accounts.items()]
    assert cost_per_share_ratio(engine, records) == 1.0
    records.append(make_record("prensa", 20.0))
    assert cost_per_share_ratio(engine, records) == 1.5
    assert cost_per_share_ratio(engine, records[:1]) == inf


def test_there_are_more_callers_than_slots(engine):
    counts = [count_callers(engine, account) for account in engine.accounts]
    assert sum(counts) > engine.slots * len(engine.servers)


def test_demo_passes_only_if_every_answer_is_whole(capsys):
    whole = make_record("prensa", 1.0)
    assert print_verdict([whole], [])
    assert not print_verdict([], [])
    assert not print_verdict([whole], [Fault(LOST, "q9", "why")])
    assert "fault lost q9: why" in capsys.readouterr().out
    for fields in ({"status": 503, "ran": "no"}, {"reason": "cut"}, {"ran": "unknown"}):
        assert not print_verdict([whole, make_record("prensa", 0.0, **fields)], [])
    assert not print_verdict([whole, CallRecord(whole.call)], [])
