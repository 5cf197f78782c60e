from __future__ import annotations

import pytest

from lagoonsail_lab.deployments import make_cordero, make_kalapati
from lagoonsail_lab.prove import make_deployments, relayed_routers, relayed_servers
from lagoonsail_lab.schedule import FREEZE, KILL, STOP, draw_schedule

DURATION_S = 300.0


def draw(seed, small=False):
    deployments = make_deployments(small)
    routers, servers = relayed_routers(deployments), relayed_servers(deployments)
    return draw_schedule(seed, deployments, routers, servers, DURATION_S)


def test_same_seed_gives_the_same_schedule():
    assert draw(1) == draw(1)
    assert draw(1) != draw(2)


def test_steps_end_in_time_and_come_in_order():
    steps = draw(3)
    assert all(0 < step.at_ms < step.end_ms <= DURATION_S * 1000.0 for step in steps)
    assert [step.at_ms for step in steps] == sorted(step.at_ms for step in steps)


def test_every_kind_is_drawn_alone_or_with_others():
    kinds = {step.kind for seed in range(5) for step in draw(seed)}
    assert len(kinds) == 19


def test_some_faults_overlap():
    steps = draw(4)
    pairs = zip(steps, steps[1:], strict=False)
    assert any(after.at_ms < before.end_ms for before, after in pairs)


@pytest.mark.parametrize("seed", range(10))
def test_one_router_of_each_side_always_runs(seed):
    steps = [s for s in draw(seed, small=True) if s.kind in (KILL, FREEZE, STOP)]
    for step in steps:
        side = step.target.rpartition("-")[0]
        affected = {
            other.target
            for other in steps
            if other.target.startswith(side)
            and other.at_ms <= step.at_ms <= other.end_ms
        }
        assert len(affected) < 3


def test_default_size_is_that_of_the_deployments():
    deployments = make_deployments(small=False)
    assert [d.routers for d in deployments] == [6, 6]
    expected = [make_cordero(), make_kalapati()]
    for deployment, other in zip(deployments, expected, strict=True):
        for service, other_service in zip(
            deployment.services, other.services, strict=True
        ):
            assert service.servers == other_service.servers
            assert len(service.accounts) == 16
