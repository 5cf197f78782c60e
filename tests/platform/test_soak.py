"""A short randomized soak with fixed seeds; `make soak-platform` runs longer ones."""

from __future__ import annotations

import pytest
from lagoonsail_platform_standin.soak import run_soak


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_random_faults(seed):
    soak = run_soak(seed, duration_s=6.0)
    assert soak.violations == [], sorted(soak.events)
