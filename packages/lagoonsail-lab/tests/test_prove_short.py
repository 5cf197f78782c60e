from __future__ import annotations

import subprocess
import sys

import pytest

RUNS = ((5, ()), (12, ()), (13, ("--only", "server_path")))
"""Seeds and further options; the last run cuts calls off while servers run them."""
TIMEOUT_S = 300


@pytest.mark.parametrize(("seed", "options"), RUNS)
def test_short_random_run_has_no_fault(seed, options):
    arguments = ["--seed", str(seed), "--duration-s", "20", "--small", *options]
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
