from __future__ import annotations

import json
import os
import queue
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections import deque
from pathlib import Path

import grpc
import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.events import Timeline
from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_core.messages import Heartbeat, Hello
from lagoonsail_peer import _handshake
from lagoonsail_peer._frame_auth import make_tagger
from lagoonsail_peer._grpc import (
    METADATA_INCARNATION,
    METADATA_ROUTER,
    METADATA_SIGNATURE,
    METHOD_PATH,
    signed_body,
)
from lagoonsail_peer.heartbeats import HeartbeatScheduler
from lagoonsail_peer.link import PeerLink
from lagoonsail_peer.server import PeerServer
from lagoonsail_peer.signing import sign
from lagoonsail_peer.stream import StreamOptions

CHILD = Path(__file__).with_name("peer_process.py")
CLOCK = Clock()


def _wait_until(condition, timeout_s: float = 10.0) -> None:
    """Run the hub until the condition holds."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, "the condition did not hold in time"
        eventlet.sleep(0.005)


@pytest.fixture
def wait_until():
    """Run the hub until a condition holds; fail after a timeout in seconds."""
    return _wait_until


class Recorder:
    """A server or link that records the arguments of its callbacks."""

    def __init__(
        self,
        kind,
        address,
        name,
        incarnation,
        key,
        silence_ms,
        heartbeat_ms,
        **options,
    ):
        self.events = []
        self.ahead_ms = 0.0
        self.timeline = Timeline(name, CLOCK)
        self.on_messages = lambda stream, messages: None
        clock = Clock(read_monotonic_ms=lambda: CLOCK.now_ms() + self.ahead_ms)
        self.peer = kind(
            address,
            key,
            StreamOptions(
                make_hello=lambda: Hello(name, incarnation, "r", CLOCK.now_ms()),
                timeline=self.timeline,
                on_open=self._open,
                on_messages=self._messages,
                on_close=self._close,
                flush_ms=2.0,
                silence_ms=silence_ms,
                make_heartbeat=lambda: Heartbeat(CLOCK.now_ms(), 5),
                heartbeats=HeartbeatScheduler(heartbeat_ms, clock),
                clock=clock,
            ),
            **options,
        )

    def _open(self, stream, hello):
        self.events.append(("open", stream, hello))

    def _close(self, stream):
        self.events.append(("close", stream, CLOCK.now_ms()))

    def _messages(self, stream, messages):
        self.events.extend(("message", stream, message) for message in messages)
        self.on_messages(stream, messages)

    def of(self, kind):
        return [event for event in self.events if event[0] == kind]

    def streams(self):
        return [stream for _, stream, _ in self.of("open")]

    def messages(self, kind):
        return [item for _, _, item in self.of("message") if type(item) is kind]

    def check_order(self):
        """Check that each stream opens once, delivers messages, then closes once."""
        for stream in {event[1] for event in self.events}:
            kinds = [event[0] for event in self.events if event[1] is stream]
            assert kinds[0] == "open"
            assert kinds.count("open") == 1
            assert kinds.count("close") <= 1
            assert "close" not in kinds[:-1]


@pytest.fixture(params=["grpc", "tcp"])
def transport(request):
    """Transport of the streams; each test with this fixture runs with both."""
    return request.param


@pytest.fixture
def make_peer(transport):
    """Start servers (without an address) and links; stop them at teardown."""
    recorders = []

    def make(
        address="",
        name="local",
        incarnation=1,
        key=b"key",
        silence_ms=2000.0,
        heartbeat_ms=100.0,
        **options,
    ):
        kind = PeerLink if address else PeerServer
        recorder = Recorder(
            kind,
            address or "127.0.0.1:0",
            name,
            incarnation,
            key,
            silence_ms,
            heartbeat_ms,
            transport=transport,
            **options,
        )
        recorders.append(recorder)
        recorder.peer.start()
        return recorder

    yield make
    for recorder in reversed(recorders):
        recorder.peer.stop()
    _wait_until(lambda: all(len(r.of("open")) == len(r.of("close")) for r in recorders))
    for recorder in recorders:
        recorder.check_order()


@pytest.fixture
def pair(make_peer):
    """A server and a link with an open stream."""
    server = make_peer(name="server")
    link = make_peer(f"127.0.0.1:{server.peer.port}", name="link")
    _wait_until(lambda: server.of("open") and link.of("open"))
    return server, link


@pytest.fixture
def raw_connect():
    """Connect to a server over TCP and return the socket and its challenge."""
    connections = []

    def connect(port):
        connection = green_socket.create_connection(("127.0.0.1", port))
        connections.append(connection)
        return connection, _handshake._receive(connection, 2)[1]

    yield connect
    for connection in connections:
        connection.close()


@pytest.fixture
def raw_call(transport, raw_call_grpc, raw_call_tcp):
    """Send any frames to a server and return what is received."""
    return {"grpc": raw_call_grpc, "tcp": raw_call_tcp}[transport]


@pytest.fixture
def raw_call_tcp(raw_connect):
    """Send any frames to a server over TCP and return the received bytes."""

    def call(port, frames, key=b"key"):
        connection, challenge = raw_connect(port)
        transcript = ("raw", "1", f"127.0.0.1:{port}", challenge, "00")
        proof = _handshake.make_proof(key, _handshake.ROLE_CLIENT, *transcript)
        fields = [part for part in transcript if part != challenge]
        _handshake._send(connection, [*fields, proof])
        _handshake._receive(connection, 2)
        received = b""
        make_tag = make_tagger(key, _handshake.ROLE_CLIENT, transcript)
        try:
            for frame in frames:
                if frame is None:
                    connection.shutdown(socket.SHUT_WR)
                    continue
                data = frame + make_tag(frame)
                connection.sendall(struct.pack(">I", len(data)) + data)
            while data := connection.recv(65536):
                received += data
        except OSError:
            # The server closed the connection before reading everything.
            pass
        # Lets the stream's green thread process what was received before the end.
        eventlet.sleep(0.005)
        return received

    return call


@pytest.fixture
def raw_call_grpc():
    """Send any frames and metadata to a server and return what is received."""

    def call(port, frames, key=b"key", signature=None, router="raw", incarnation="1"):
        if signature is None:
            body = signed_body("raw", 1)
            signature = sign(key, "STREAM", METHOD_PATH, body, CLOCK)
        outgoing = queue.SimpleQueue()
        for frame in frames:
            outgoing.put(frame)
        received = []

        def run():
            options = (("grpc.use_local_subchannel_pool", 1),)
            channel = grpc.insecure_channel(f"127.0.0.1:{port}", options=options)
            metadata = (
                (METADATA_ROUTER, router),
                (METADATA_INCARNATION, incarnation),
                (METADATA_SIGNATURE, signature),
            )
            stub = channel.stream_stream(METHOD_PATH)
            try:
                received.extend(stub(iter(outgoing.get, None), metadata=metadata))
            except grpc.RpcError as error:
                received.append(error.code())
            outgoing.put(None)
            channel.close()

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        _wait_until(lambda: not thread.is_alive())
        # Lets the hub process what the server's threads have posted.
        eventlet.sleep(0.005)
        return received

    return call


class Child:
    """A peer server in another process."""

    def __init__(self, *arguments):
        paths = os.pathsep.join(path for path in sys.path if path.endswith("src"))
        self.process = subprocess.Popen(
            [sys.executable, str(CHILD), *arguments],
            env={**os.environ, "PYTHONPATH": paths},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.events = []
        self._lines = deque()
        threading.Thread(target=self._read, daemon=True).start()
        _wait_until(lambda: self.of("listening"))
        self.port = self.of("listening")[0]["port"]

    def _read(self):
        for line in iter(self.process.stdout.readline, b""):
            self._lines.append(line)

    def of(self, kind):
        while self._lines:
            self.events.append(json.loads(self._lines.popleft()))
        return [event for event in self.events if event["event"] == kind]

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.communicate()


@pytest.fixture
def start_child(transport):
    """Start peer servers in other processes; end them at teardown."""
    children = []

    def start(*arguments):
        children.append(Child("--transport", transport, *arguments))
        return children[-1]

    yield start
    for child in children:
        child.signal(signal.SIGCONT)
        child.end()


class Relay:
    """TCP relay in green threads that can freeze its current connections."""

    def __init__(self, port):
        self.target = ("127.0.0.1", port)
        self.frozen = set()
        self.connections = []
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self._accept_task = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            inbound, _ = self.listener.accept()
            outbound = green_socket.create_connection(self.target)
            number = len(self.connections)
            self.connections.append((inbound, outbound))
            eventlet.spawn(self._forward, number, inbound, outbound)
            eventlet.spawn(self._forward, number, outbound, inbound)

    def _forward(self, number, source, destination):
        try:
            while data := source.recv(65536):
                while number in self.frozen:
                    eventlet.sleep(0.01)
                destination.sendall(data)
        except (OSError, EOFError):
            # The other direction has closed this socket.
            pass
        for connection in (source, destination):
            connection.close()

    def freeze(self):
        self.frozen = set(range(len(self.connections)))

    def thaw(self):
        self.frozen = set()

    def stop(self):
        self._accept_task.kill()
        self.listener.close()
        self.thaw()


@pytest.fixture
def start_relay():
    """Start relays to local ports; stop them at teardown."""
    relays = []

    def start(port):
        relays.append(Relay(port))
        return relays[-1]

    yield start
    for relay in relays:
        relay.stop()
