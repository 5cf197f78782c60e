from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_store.host_list import HostList
from lagoonsail_store.store_client import StoreClient


class StandIn:
    """A stand-in that runs in a process of its own."""

    def __init__(self, name: str, *options: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", f"lagoonsail_standins.{name}", *options],
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )
        listening = json.loads(self.process.stdout.readline())
        self.port = listening["port"]
        self.address = f"127.0.0.1:{self.port}"
        self._control_port = listening.get("control_port", self.port)

    def control(self, **orders):
        return self._ask("POST", "/_control", json.dumps(orders))

    def record(self):
        return self._ask("GET", "/_record", None)

    def _ask(self, method, path, body):
        url = f"http://127.0.0.1:{self._control_port}{path}"
        answer = urllib3.request(method, url, body=body, retries=False, timeout=10.0)
        assert answer.status == 200, answer.data
        return answer.json()

    def stop(self):
        self.process.terminate()
        status = self.process.wait(10)
        self.process.stdout.close()
        return status


@pytest.fixture
def start():
    running = []

    def start_one(name, *options):
        running.append(StandIn(name, *options))
        return running[-1]

    yield start_one
    for stand_in in running:
        stand_in.stop()


@pytest.fixture
def key_value(start):
    return start("key_value", "--progress-ms", "100")


@pytest.fixture
def connect():
    def connect_to(*addresses, timeout_ms=2000.0):
        return StoreClient(list(addresses), timeout_ms, Clock())

    return connect_to


@pytest.fixture
def client(key_value, connect):
    return connect(key_value.address)


@pytest.fixture
def read_hosts():
    def make(address, timeout_ms=2000.0):
        return HostList(f"http://{address}/hosts", timeout_ms, Clock())

    return make


@pytest.fixture
def wait_until():
    def wait(holds, limit_s=10.0):
        with eventlet.Timeout(limit_s):
            while not holds():
                eventlet.sleep(0.02)

    return wait
