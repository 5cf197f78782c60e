"""Reads the cost of a running fleet, as the demonstration and the measurement do."""

from __future__ import annotations

from lagoonsail_lab.control_traffic import watch_cost


def test_cost_of_a_running_fleet_is_read_from_its_processes(proof):
    with proof.start_fleet(2, servers=1) as fleet:
        cost = watch_cost(fleet, 1.0)
    assert cost.mb > 1.0
    assert cost.kb_s > 0.0
    assert cost.messages_s > 0.0
    assert cost.busiest_percent >= cost.core_percent >= 0.0
