"""Requests whose bodies arrive slowly, while the configuration changes."""

from __future__ import annotations

import pytest
from lagoonsail_platform_standin.answer_reader import AnswerReader, CallerAnswer
from lagoonsail_platform_standin.fleet import make_request

from lagoonsail_core.green import eventlet, green_socket

ROUTER = "router-1"
OTHER_ACCOUNT = [{"name": "norte", "api-keys": ["another"]}]


# CONFIG: the route and the key were looked up before the body came, and not again.
@pytest.mark.parametrize(
    ("changes", "status"), [({"routes": []}, 404), ({"tenants": OTHER_ACCOUNT}, 401)]
)
def test_request_is_handled_by_the_version_in_force_when_its_body_ends(
    fleet, changes, status
):
    data = make_request("POST", "/write/1", "id-1")
    data = data.replace(b"Content-Length: 0", b"Content-Length: 2")
    with green_socket.create_connection(("127.0.0.1", fleet.ports[ROUTER])) as sock:
        sock.settimeout(5.0)
        sock.sendall(data + b"x")
        eventlet.sleep(0.2)
        fleet.put_manifest(**changes)
        with eventlet.Timeout(5.0):
            while fleet.ask(ROUTER, "GET", "/read/1", "id-2")[0] != status:
                eventlet.sleep(0.02)
        sock.sendall(b"x")
        answer = CallerAnswer()
        AnswerReader(sock).read(answer)
    assert answer.status == status
    assert not any(
        run["HTTP_LAGOONSAIL_ATTEMPT_ID"] == "id-1"
        for server in fleet.servers.values()
        for run in server.runs
    )
