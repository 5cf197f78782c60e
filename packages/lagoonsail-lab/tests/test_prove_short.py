from __future__ import annotations

import subprocess
import sys

import pytest

SEEDS = (5, 12)
TIMEOUT_S = 300


@pytest.mark.parametrize("seed", SEEDS)
def test_short_random_run_has_no_fault(seed):
    arguments = ["--seed", str(seed), "--duration-s", "20", "--small"]
    run = subprocess.run(
        [sys.executable, "-m", "lagoonsail_lab.prove", *arguments],
        env={"PYTHONPATH": ":".join(sys.path), "PYTHONWARNINGS": "ignore"},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert run.returncode == 0, run.stdout[-20000:] + run.stderr[-5000:]
    assert f"seed {seed}" in run.stdout
    assert "faults none" in run.stdout
