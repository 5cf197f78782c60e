"""Signals that arrive while a router is still importing its libraries."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
RUN_UNTIL_EVENTLET = """
import runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "eventlet":
            print(signal.getsignal(signal.SIGHUP).name)
            sys.exit(0)

sys.meta_path.insert(0, Finder())
"""
"""Prints how SIGHUP is handled when the first slow import begins, and exits."""
PLATFORM_ROUTER = "runpy.run_path('platform/lagoonsail_edge.py', run_name='__main__')"
INI_ROUTER = "runpy.run_module('lagoonsail_router', run_name='__main__')"


@pytest.mark.parametrize("start", [PLATFORM_ROUTER, INI_ROUTER])
def test_sighup_does_not_end_a_router_that_is_importing(start):
    """Guards against a change of the settings file that ends routers as they start."""
    run = subprocess.run(
        [sys.executable, "-c", RUN_UNTIL_EVENTLET + start],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30.0,
    )
    assert run.stdout.strip() == "SIG_IGN", run.stderr
