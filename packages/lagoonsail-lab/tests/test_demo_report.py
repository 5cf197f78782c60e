from __future__ import annotations

from math import inf

import pytest

from lagoonsail_lab.call_record import Attempt, CallRecord
from lagoonsail_lab.caller import make_prompt
from lagoonsail_lab.checker import LOST, Fault
from lagoonsail_lab.demo_load import count_callers
from lagoonsail_lab.demo_report import print_verdict, spread_of_shares
from lagoonsail_lab.deployments import make_cordero


@pytest.fixture
def engine():
    return make_cordero().find("asistente")


def make_record(account, cost, **fields):
    call = make_prompt("cordero", "asistente", account, 1, False, "x")
    return CallRecord(
        call, [Attempt("q1", "r1", **{"status": 200, **fields}, cost=cost)]
    )


def test_spread_is_that_of_cost_by_share(engine):
    records = [make_record(name, 10 * share) for name, share in engine.accounts.items()]
    assert spread_of_shares(engine, records) == 1.0
    records.append(make_record("prensa", 20.0))
    assert spread_of_shares(engine, records) == 1.5
    assert spread_of_shares(engine, records[:1]) == inf


def test_callers_keep_all_slots_busy(engine):
    counts = [count_callers(engine, account) for account in engine.accounts]
    assert sum(counts) > engine.slots * len(engine.servers)


def test_demo_passes_only_if_every_answer_is_whole(capsys):
    good = make_record("prensa", 1.0)
    assert print_verdict([good], [])
    assert not print_verdict([], [])
    assert not print_verdict([good], [Fault(LOST, "q9", "why")])
    assert "fault lost q9: why" in capsys.readouterr().out
    for fields in ({"status": 503, "ran": "no"}, {"reason": "cut"}, {"ran": "unknown"}):
        assert not print_verdict([good, make_record("prensa", 0.0, **fields)], [])
    assert not print_verdict([good, CallRecord(good.call)], [])
