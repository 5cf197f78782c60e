from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from urllib.parse import parse_qs

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_ctl.main import main
from lagoonsail_peer.signing import SignatureChecker, SignatureError
from lagoonsail_store.store_client import StoreClient

ROOT = Path(__file__).resolve().parents[3]
PREFIX = "/lagoonsail/"
KEY = b"0123456789abcdef"

DOCUMENT = """\
[service]
side = cordero
name = {name}
kind = engine
region = sierra-central

[failure-domain norte]
state = in
[failure-domain puyo]

[server {name}-1]
address = 127.0.0.1:{port}
failure_domain = norte
slots = 8
[server {name}-2]
address = 127.0.0.1:{next_port}
failure_domain = puyo
slots = 8

[account club-norte]
share = 3
key_sha256 = {hash}
"""


def make_document(name: str = "asistente", port: int = 9001) -> str:
    return DOCUMENT.format(name=name, port=port, next_port=port + 1, hash="ab" * 32)


class Store:
    """A client of the stand-in for the key-value service."""

    def __init__(self, port: int) -> None:
        self.address = f"127.0.0.1:{port}"
        self.client = StoreClient([self.address], 2000, Clock())
        self._pool = urllib3.PoolManager(retries=False)

    def put(self, key: str, value: str) -> int:
        """Write unconditionally; return the new revision."""
        entry = self.client.get(PREFIX + key)
        revision = getattr(entry, "revision", 0)
        return self.client.put_if(PREFIX + key, value, revision).revision

    def get(self, key: str):
        return self.client.get(PREFIX + key)

    def control(self, **orders) -> None:
        url = f"http://{self.address}/_control"
        answer = self._pool.request("POST", url, body=json.dumps(orders))
        assert answer.status == 200


class FakeRouter:
    """An admin server whose status, events and availability a test sets."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.pushed: list[dict] = []
        self.events: list[dict] = []
        self.refused = 0
        self.accepts_documents = True
        self.is_answering = True
        self.status = {
            "router": name,
            "incarnation": 1,
            "side": "cordero",
            "region": "sierra-central",
            "failure_domain": "norte",
            "state": "serving",
            "right": "full",
            "store": "up",
            "configuration": {},
            "shards": {},
            "owners": {},
            "waiting": {},
            "running": 0,
            "invariant_violations": 0,
        }
        self._checker = SignatureChecker(KEY, Clock())
        self._socket = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._thread = eventlet.spawn(
            eventlet.wsgi.server, self._socket, self._serve, log_output=False
        )

    def _serve(self, environ, start_response):
        path = environ["PATH_INFO"]
        query = environ.get("QUERY_STRING", "")
        target = f"{path}?{query}" if query else path
        body = environ["wsgi.input"].read()
        signature = environ.get("HTTP_X_LAGOONSAIL_SIGNATURE", "")
        try:
            self._checker.check(environ["REQUEST_METHOD"], target, body, signature)
        except SignatureError as error:
            self.refused += 1
            start_response("401 Unauthorized", [])
            return [json.dumps({"error": str(error)}).encode()]
        if not self.is_answering:
            start_response("503 Service Unavailable", [])
            return [b"{}"]
        incarnation = str(self.status["incarnation"])
        headers = [("X-Lagoonsail-Incarnation", incarnation)]
        start_response("200 OK", headers)
        if path == "/documents":
            self._accept(json.loads(body))
            return [b"{}"]
        if path == "/timeline":
            return [json.dumps(self._events_since(query)).encode()]
        return [json.dumps(self.status).encode()]

    def _events_since(self, query: str) -> list[dict]:
        query_fields = parse_qs(query)
        own = str(self.status["incarnation"])
        is_same = query_fields.get("incarnation", [own])[0] == own
        since = int(query_fields["since"][0]) if is_same else 0
        return [event for event in self.events if event["logical"] > since]

    def _accept(self, message: dict) -> None:
        self.pushed.append(message)
        if self.accepts_documents:
            self.status["configuration"][message["key"]] = message["revision"]

    def member_entry(self) -> str:
        names = ("router", "incarnation", "side", "region", "failure_domain", "state")
        entry = {name: self.status[name] for name in names}
        entry |= {"peers": "127.0.0.1:1", "admin": self.address, "started_wall_ms": 0}
        return json.dumps(entry)

    def stop(self) -> None:
        self._thread.kill()
        self._socket.close()


@pytest.fixture
def store():
    sources = os.pathsep.join(str(path) for path in ROOT.glob("packages/*/src"))
    process = subprocess.Popen(
        [sys.executable, "-m", "lagoonsail_standins.key_value", "--port", "0"],
        env={**os.environ, "PYTHONPATH": sources},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield Store(json.loads(process.stdout.readline())["port"])
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


@pytest.fixture
def start_router():
    routers = []

    def start(name: str) -> FakeRouter:
        routers.append(FakeRouter(name))
        return routers[-1]

    yield start
    for router in routers:
        router.stop()


@pytest.fixture
def fleet(store, start_router):
    """Two routers with entries among the members."""
    routers = [start_router("r1"), start_router("r2")]
    for router in routers:
        store.put(f"members/{router.name}", router.member_entry())
    return routers


@pytest.fixture
def settings_file(tmp_path, store):
    (tmp_path / "key").write_bytes(KEY)
    path = tmp_path / "lagoonctl.ini"
    path.write_text(f"[lagoonctl]\nstore = {store.address}\nkey_file = key\n")
    return path


@pytest.fixture
def run(capsys, monkeypatch, settings_file):
    """Run a command; return exit code, decoded JSON or text, and standard error."""
    monkeypatch.setenv("LAGOONCTL_SETTINGS", str(settings_file))

    def run_command(*arguments: object, json_output: bool = True):
        argv = [str(argument) for argument in arguments]
        code = main([*argv, "--json"] if json_output else argv)
        captured = capsys.readouterr()
        output = json.loads(captured.out) if json_output else captured.out
        return code, output, captured.err

    return run_command


@pytest.fixture
def write_document(tmp_path):
    def write(text: str, name: str = "asistente.ini") -> Path:
        path = tmp_path / name
        path.write_text(text)
        return path

    return write


@pytest.fixture
def document() -> str:
    return make_document()


@pytest.fixture
def second_document() -> str:
    return make_document("registro", 9101)
