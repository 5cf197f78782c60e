from __future__ import annotations

import hashlib
import json
from types import SimpleNamespace
from urllib.parse import unquote

import pytest

from lagoonsail_config.settings import load_settings
from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_lab.bare_router import SETTINGS
from lagoonsail_router.configuration import Configuration
from lagoonsail_router.context import RouterContext
from lagoonsail_router.key_store import KeyStore
from lagoonsail_standins.serving import listen, serve_listener
from lagoonsail_store.entries import Absent, Conflict, Entry, Listing, Written

DOCUMENT = """\
[service]
side = cordero
name = {name}
kind = {kind}
region = sierra-central
request_timeout_ms = 1000
max_body_bytes = 1000
[failure-domain banos]
[failure-domain puyo]
[server s1]
address = 127.0.0.1:9001
failure_domain = banos
slots = 2
[server s2]
address = 127.0.0.1:9002
failure_domain = puyo
slots = 2
[account norte]
share = 2
key_sha256 = {norte}
[account sur]
share = 1
key_sha256 = {sur}
"""


class FakeTime:
    """A clock that advances only through `advance_ms`."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000.0
        self.clock = Clock(lambda: self.now_ms, lambda: self.now_ms)

    def advance_ms(self, duration_ms):
        self.now_ms += duration_ms


class FakeStore:
    """Keys and leases in memory; `down` and `lose_answers` simulate outages."""

    def __init__(self) -> None:
        self.entries = {}
        self.revision = 0
        self.ttl_ms = 3000.0
        self.down = self.lose_answers = False
        self.next_lease = 100
        self.writes = []
        self.before_answer = lambda: None

    def get(self, key):
        if self.down:
            return Unavailable("down")
        return self.entries.get(key) or Absent(key)

    def list(self, prefix):
        if self.down:
            return Unavailable("down")
        found = [e for k, e in sorted(self.entries.items()) if k.startswith(prefix)]
        return Listing(self.revision, found)

    def put_if(self, key, value, expected_revision, lease=0):
        if self.down:
            self.before_answer()
            return Unavailable("down")
        held = self.entries.get(key)
        if (held.revision if held else 0) != expected_revision:
            self.before_answer()
            return Conflict(held)
        self.revision += 1
        self.entries[key] = Entry(key, value, self.revision, lease)
        self.writes.append((key, value))
        revision = self.revision
        self.before_answer()
        return Unavailable("lost") if self.lose_answers else Written(revision)

    def grant_lease(self, _ttl_ms):
        if self.down:
            return Unavailable("down")
        self.next_lease += 1
        return self.next_lease

    def renew_lease(self, _lease):
        self.before_answer()
        return Unavailable("down") if self.down else self.ttl_ms

    def revoke_lease(self, _lease):
        return None


class FakeStream:
    """One side of a stream; records the messages sent on it."""

    def __init__(self, name, incarnation=1) -> None:
        self.name, self.incarnation = name, incarnation
        self.region = "sierra-central"
        self.last_received_ms = self.remote_sent_ms = 0.0
        self.sent = []
        self.on_send = lambda message: None

    def send(self, message):
        self.sent.append(message)
        self.on_send(message)

    def send_with_next_frame(self, message):
        self.send(message)

    def of(self, kind):
        return [message for message in self.sent if type(message) is kind]


class FakePeers:
    """Stand-in for `PeerDirectory`: streams by name and handlers by message type."""

    def __init__(self) -> None:
        self.streams, self.handlers, self.on_open, self.on_close = {}, {}, [], []

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def subscribe(self, on_open, on_close):
        self.on_open.append(on_open)
        self.on_close.append(on_close)

    def stream_to(self, name):
        streams = self.streams.get(name)
        return streams[0] if streams else None

    def connect(self, name, incarnation=1):
        stream = FakeStream(name, incarnation)
        self.streams[name] = [stream]
        for listener in self.on_open:
            listener(stream)
        return stream

    def disconnect(self, stream):
        self.streams.pop(stream.name)
        for listener in self.on_close:
            listener(stream)

    def deliver(self, stream, message):
        self.handlers[type(message)](stream, message)


@pytest.fixture
def time():
    return FakeTime()


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def peers():
    return FakePeers()


@pytest.fixture
def make_stream():
    return FakeStream


@pytest.fixture
def context(tmp_path, time):
    path = tmp_path / "router.ini"
    path.write_text(SETTINGS.format(name="cordero-1"))
    return RouterContext(load_settings(path), time.clock)


@pytest.fixture
def real_time_context(context):
    """A router's context with a real clock."""
    return RouterContext(context.settings, Clock())


@pytest.fixture
def serve():
    """Serves an application in this process; returns its address."""
    threads = []

    def start(app):
        listener = listen(0)
        threads.append(eventlet.spawn(serve_listener, listener, app))
        return f"127.0.0.1:{listener.getsockname()[1]}"

    yield start
    for thread in threads:
        thread.kill()


@pytest.fixture
def configuration(context):
    return Configuration(context)


@pytest.fixture
def promise_requests():
    """One entry per time that the key store requested promises."""
    return []


@pytest.fixture
def key_store(context, store, configuration, peers, promise_requests):
    return KeyStore(
        context, store, configuration, peers, lambda: promise_requests.append(1)
    )


@pytest.fixture
def make_document():
    """Makes a service document; an account's API key is its name followed by "-key"."""

    def make(name="registro", kind="plain", more=""):
        keys = {a: hashlib.sha256(f"{a}-key".encode()).hexdigest() for a in NAMES}
        return DOCUMENT.format(name=name, kind=kind, **keys) + more

    return make


NAMES = ("norte", "sur")


@pytest.fixture
def shard_value():
    """Makes an assignment record."""

    def make(owner="cordero-2", epoch=1, lease=7, state="owned"):
        fields = {"owner": owner, "incarnation": 1, "lease": lease, "epoch": epoch}
        return json.dumps({**fields, "state": state})

    return make


@pytest.fixture
def member_value():
    """Makes a member record."""

    def make(name, lease=7, state="serving", region="sierra-central"):
        address = {"peers": "127.0.0.1:1", "admin": "127.0.0.1:2"}
        fields = {"router": name, "incarnation": 1, "side": "cordero", **address}
        fields |= {"failure_domain": "banos", "region": region}
        return json.dumps({**fields, "state": state, "lease": lease})

    return make


@pytest.fixture
def wait_until():
    """Runs other tasks until a condition holds."""

    def wait(condition, bound_s=5.0):
        for _ in range(int(bound_s / 0.005)):
            if condition():
                return
            eventlet.sleep(0.005)
        pytest.fail("the condition did not come true in time")

    return wait


@pytest.fixture
def make_env():
    """Makes a WSGI environment with the API key of account norte."""

    def make(path="/cordero/registro/bibs", method="GET", body=b"", **headers):
        raw, _, query = path.partition("?")
        parts = iter([body]) if body else iter([])
        source = SimpleNamespace(read=lambda size: next(parts, b"")[:size])
        env = {
            "REQUEST_METHOD": method,
            "RAW_PATH_INFO": raw,
            "PATH_INFO": unquote(raw, "latin1"),
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)),
            "HTTP_AUTHORIZATION": "Bearer norte-key",
            "wsgi.input": source,
        }
        return {**env, **headers}

    return make
