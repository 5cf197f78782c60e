from __future__ import annotations

import json
import os
import signal
import subprocess
import sys

import pytest

from lagoonsail_core.green import urllib3


@pytest.fixture
def weight_store():
    options = ["--burst", "2", "--rate-per-s", "0.5", "--size", "1000"]
    process = subprocess.Popen(
        [sys.executable, "-m", "lagoonsail_standins.weight_store", *options],
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    yield f"http://127.0.0.1:{json.loads(process.stdout.readline())['port']}"
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    process.stdout.close()


def test_weights_are_served_until_the_limit(weight_store):
    def fetch(path):
        return urllib3.request("GET", weight_store + path, retries=False)

    first, second = fetch("/weights/registro-7b"), fetch("/weights/other")
    assert (first.status, second.status) == (200, 200)
    assert len(first.data) == 1000
    assert first.data != second.data
    limited = fetch("/weights/registro-7b")
    assert (limited.status, limited.headers["Retry-After"]) == (429, "2")
    assert fetch("/weights/").status == 404
    assert fetch("/_record").json() == {"served": 2, "limited": 1}
