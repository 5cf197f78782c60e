"""Shared fixtures: a platform of stand-ins, with each router in its own process."""

from __future__ import annotations

import pytest
from lagoonsail_platform_standin.fleet import MAX_DESCRIPTORS, MEMORY_MB, StandInFleet


@pytest.fixture
def make_fleet(tmp_path):
    """Return a function that starts a platform; all are stopped after the test."""
    fleets = []

    def make(
        routers: int,
        max_descriptors: int = MAX_DESCRIPTORS,
        memory_mb: int = MEMORY_MB,
        *,
        has_store_ports: bool = False,
    ) -> StandInFleet:
        fleet = StandInFleet(
            tmp_path,
            max_descriptors=max_descriptors,
            memory_mb=memory_mb,
            has_store_ports=has_store_ports,
        )
        fleets.append(fleet)
        fleet.start(routers)
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()


@pytest.fixture
def fleet(make_fleet) -> StandInFleet:
    return make_fleet(1)
