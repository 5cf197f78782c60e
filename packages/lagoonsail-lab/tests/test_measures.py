from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_lab import backlog
from lagoonsail_lab.backlog import BASELINE_MODULE, Work, collect_work
from lagoonsail_lab.caller import Balancer, Caller, make_prompt
from lagoonsail_lab.control_traffic import Cost, extrapolate
from lagoonsail_lab.deployments import make_cordero
from lagoonsail_lab.fairness import SLICE_MS, ServiceCurves
from lagoonsail_lab.fleet import Fleet
from lagoonsail_lab.utilisation import busy_shares


def make_cost(value: float) -> Cost:
    return Cost(*[value] * len(Cost.__slots__))


def steady_work(account: str, cost: float, slices: int, is_waiting: bool) -> list[Work]:
    """Return one run per slice; with `is_waiting`, each was requested long before."""
    lead_ms = 10 * SLICE_MS if is_waiting else 0.0
    return [
        Work(account, begin - lead_ms, begin, begin + SLICE_MS, cost, "s")
        for begin in (SLICE_MS * i for i in range(slices))
    ]


def test_pair_gap_grows_with_unequal_service() -> None:
    work = steady_work("a", 30.0, 20, True) + steady_work("b", 10.0, 20, True)
    shares = {"a": 1.0, "b": 1.0}
    curves = ServiceCurves(work, shares, 0.0, 10 * SLICE_MS)
    assert curves.pair_gap("a", "b") == pytest.approx(10 * 20.0)


def test_gap_counts_only_while_both_accounts_wait() -> None:
    work = steady_work("a", 30.0, 20, True) + steady_work("b", 10.0, 20, False)
    curves = ServiceCurves(work, {"a": 1.0, "b": 1.0}, 0.0, 10 * SLICE_MS)
    assert curves.pair_gap("a", "b") == 0.0
    assert all(curves.backlogged["a"])
    assert not any(curves.backlogged["b"])


def test_gap_is_normalised_by_shares() -> None:
    work = steady_work("a", 30.0, 20, True) + steady_work("b", 10.0, 20, True)
    curves = ServiceCurves(work, {"a": 3.0, "b": 1.0}, 0.0, 10 * SLICE_MS)
    assert curves.pair_gap("a", "b") == pytest.approx(0.0)


def test_busy_share_leaves_out_slices_without_waiting_work() -> None:
    work = [
        Work("a", 0.0, 100.0, 2000.0, 1.0, "s"),
        Work("a", 0.0, 1100.0, 1100.0, 0.0, ""),
    ]
    assert busy_shares(work, {"s": 2}, 100.0, 2100.0) == [(100.0, 0.5), (600.0, 0.5)]


def test_costs_are_extrapolated_along_both_slopes() -> None:
    sizes = ((6, 1), (12, 1), (12, 2), (12, 4))
    costs = {(n, k): make_cost(5.0 + 2.0 * n + 0.5 * n * k) for n, k in sizes}
    by_region, by_fleet, value = extrapolate(costs, "kb_s")
    assert (by_region, by_fleet) == pytest.approx((2.0, 0.5))
    assert value == pytest.approx(5.0 + 2.0 * 27.5 + 0.5 * 330)


def test_baseline_router_serves_whole_answers() -> None:
    deployment = make_cordero(routers=2, engines=2, plain=1)
    service = deployment.find("asistente")
    deployment.services = [service]
    service.options.update({"warm_after": 0, "token_ms": 1.0})
    with Fleet([deployment], router_module=BASELINE_MODULE) as fleet:
        routers = {n: (r.callers, r.admin) for n, r in fleet.routers.items()}
        balancer = Balancer(routers)
        caller = Caller(balancer)
        for number in range(6):
            prompt = f"question {number}"
            is_stream = number % 2 == 0
            call = make_prompt("cordero", "asistente", "prensa", 5, is_stream, prompt)
            caller.make(call)
        balancer.stop()
        work = collect_work([caller], fleet.records())
    assert len(caller.whole()) == 6
    assert {item.cost for item in work} == {5.0}


def test_wait_until_full_continues_while_the_shard_has_no_owner(monkeypatch):
    service = make_cordero(1, 1, 1).find(backlog.SERVICE)
    shard = f"{service.qualified()}@{service.region}"
    server = {"warm": True, "limit": service.slots}
    answers = iter([{}, {}, {shard: {"servers": {"asistente-1": server}}}])
    fleet = SimpleNamespace(
        routers=["cordero-1"], status=lambda _name: {"shards": next(answers)}
    )
    monkeypatch.setattr(backlog, "SETTLE_S", 0.0)
    backlog.wait_until_full(fleet, service)
    assert next(answers, None) is None
