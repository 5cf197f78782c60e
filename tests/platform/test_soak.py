"""A short randomized soak with fixed seeds; longer ones are played by hand."""

from __future__ import annotations

import pytest
from lagoonsail_platform_standin.soak import play


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_random_faults(seed):
    soak = play(seed, duration_s=6.0)
    assert soak.broken == [], sorted(soak.events)
