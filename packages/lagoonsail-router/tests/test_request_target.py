"""The target of a request reaches the application as it was sent."""

from __future__ import annotations

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_router.http_port import make_protocol
from lagoonsail_router.open_connections import OpenConnections


@pytest.fixture
def ask():
    """Return a function that sends a target and returns what the application got."""
    targets = []

    def serve(env, start_response):
        targets.append(env["lagoonsail.target"])
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    listening = eventlet.listen(("127.0.0.1", 0))
    protocol = make_protocol(lambda _kind: None, OpenConnections(max_count=4))
    task = eventlet.spawn(
        eventlet.wsgi.server, listening, serve, protocol=protocol, log_output=False
    )

    def send(target: str) -> str:
        connection = eventlet.connect(listening.getsockname())
        head = f"GET {target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        with eventlet.Timeout(5.0):
            connection.sendall(head.encode())
            while connection.recv(65_536):
                pass
        return targets[-1]

    yield send
    task.kill()
    listening.close()


@pytest.mark.parametrize(
    "target", ["//a/b?c=1", "///", "//", "/a//b/", "/a/./../b", "/%2Fa%00?", "/x?"]
)
def test_target_is_not_changed(ask, target):
    """Guards against a shortened path that selects another route."""
    assert ask(target) == target
