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
    """A stand-in service in a separate process."""

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
        return self._request("POST", "/_control", json.dumps(orders))

    def record(self):
        return self._request("GET", "/_record", None)

    def _request(self, method, path, body):
        url = f"http://127.0.0.1:{self._control_port}{path}"
        response = urllib3.request(method, url, body=body, retries=False, timeout=10.0)
        assert response.status == 200, response.data
        return response.json()

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
    def make_client(*addresses, timeout_ms=2000.0):
        return StoreClient(list(addresses), timeout_ms, Clock())

    return make_client


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
    def wait(condition, timeout_s=10.0):
        with eventlet.Timeout(timeout_s):
            while not condition():
                eventlet.sleep(0.02)

    return wait
