"""A router with more requests than a server takes connections."""

from __future__ import annotations

from lagoonsail_platform_standin.fleet import make_manifest

from lagoonsail_core.green import eventlet

ROUTER = "router-1"
MAX_CONNECTIONS = 4
"""Connections that each of two servers takes."""
CALLERS = 30
SERVICE_TIME_S = 1.0
"""Time that a server takes; a request waits much shorter for a connection."""
TIMEOUT_S = 10.0


# 502: a request that was never sent must get 503, not run, so that it may be repeated.
def test_requests_beyond_the_connections_of_servers_are_refused_as_not_run(fleet):
    services = make_manifest(1)["services"]
    services[0]["max-conns"] = MAX_CONNECTIONS
    fleet.put_manifest(services=services)
    with eventlet.Timeout(TIMEOUT_S, TimeoutError("the manifest is not in force")):
        while fleet.read_log(ROUTER)[-1].get("manifest") != fleet.version:
            fleet.ask(ROUTER, "GET", "/read/1", "wait")
            eventlet.sleep(0.05)
    for server in fleet.servers.values():
        server.service_time_s = SERVICE_TIME_S
    callers = [
        eventlet.spawn(fleet.ask, ROUTER, "GET", "/write/1", f"id-{number}")
        for number in range(CALLERS)
    ]
    answers = [caller.wait() for caller in callers]
    assert {answer[0] for answer in answers} == {200, 503}
    refused = [
        line
        for line in fleet.read_log(ROUTER)
        if line.get("kind") == "server_connections_full"
    ]
    assert {line["ran"] for line in refused} == {"no"}
    run = {
        env["HTTP_LAGOONSAIL_ATTEMPT_ID"]
        for server in fleet.servers.values()
        for env in server.runs
    }
    assert not run & {line["request"] for line in refused}
