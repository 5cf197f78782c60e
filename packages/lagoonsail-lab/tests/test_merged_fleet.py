"""Any router of the merged fleet takes any call, also of the other side's services."""

from __future__ import annotations

import pytest

from lagoonsail_lab.caller import Balancer, Caller, make_plain, make_prompt
from lagoonsail_lab.deployments import SHARED_ACCOUNT, make_cordero, make_kalapati
from lagoonsail_lab.fleet import Fleet

ENGINES = {"cordero": "asistente", "kalapati": "model-desk"}
PLAIN = {"cordero": "registro", "kalapati": "clock-app"}


@pytest.fixture(scope="module")
def fleet():
    with Fleet([make_cordero(1, 1, 1), make_kalapati(1, 1, 1)]) as fleet:
        yield fleet


@pytest.mark.parametrize(
    ("side", "router"), [("kalapati", "cordero-1"), ("cordero", "kalapati-1")]
)
def test_router_of_one_side_serves_callers_of_the_other(fleet, side, router):
    addresses = fleet.routers[router]
    balancer = Balancer({router: (addresses.callers, addresses.admin)})
    caller = Caller(balancer)
    for is_stream in (True, False):
        call = make_prompt(side, ENGINES[side], SHARED_ACCOUNT, 5, is_stream, "across")
        assert caller.make(call).is_whole
    for is_repeatable, path in ((True, "/search"), (False, "/bibs")):
        call = make_plain(side, PLAIN[side], SHARED_ACCOUNT, 5.0, path, is_repeatable)
        assert caller.make(call).is_whole
    balancer.stop()
    assert all(len(record.attempts) == 1 for record in caller.records)
