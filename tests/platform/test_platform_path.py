"""End-to-end tests of router processes on a stand-in of the platform."""

from __future__ import annotations

import os
import signal
import time

import pytest
from lagoonsail_platform_standin.fleet import API_KEY, EVENTS, make_request

from lagoonsail_core.green import eventlet, green_socket

ROUTER = "router-1"


def request_ids(fleet, service):
    return [
        run["HTTP_LAGOONSAIL_ATTEMPT_ID"]
        for server in fleet.servers.values()
        if server.service == service
        for run in server.runs
    ]


def find_run(fleet, request_id):
    runs = [
        run
        for server in fleet.servers.values()
        for run in server.runs
        if run["HTTP_LAGOONSAIL_ATTEMPT_ID"] == request_id
    ]
    assert len(runs) == 1
    return runs[0]


def wait_for(condition, timeout_s=5.0):
    with eventlet.Timeout(timeout_s):
        while not condition():
            eventlet.sleep(0.02)


def event_ids(body):
    return [int(line[4:]) for line in body.splitlines() if line.startswith(b"id: ")]


def test_request_is_passed_on_as_it_came(fleet):
    status, headers, body = fleet.ask(ROUTER, "GET", "/read/a%20b?c=&d", "id-1")
    assert status == 200
    assert body == b"GET /read/a%20b"
    assert headers["lagoonsail-attempt-id"] == "id-1"
    assert headers["lagoonsail-server-seal"].startswith("seal-of-plain")
    run = find_run(fleet, "id-1")
    assert run["QUERY_STRING"] == "c=&d"
    assert run["HTTP_LAGOONSAIL_TENANT_NAME"] == "norte"
    assert 0 < int(run["HTTP_LAGOONSAIL_REQUEST_DEADLINE"]) <= 3000
    assert API_KEY not in str(run)


def test_head_request_is_answered_without_a_body(fleet):
    start_s = time.monotonic()
    status, _, body = fleet.ask(ROUTER, "HEAD", "/read/1", "id-1")
    assert (status, body) == (200, b"")
    assert time.monotonic() - start_s < 1.0


def test_headers_set_by_routers_are_not_accepted_from_callers(fleet):
    forged = ("Lagoonsail-Tenant-Name: sur", "Lagoonsail-Pin-Ms: 9", "Kv-From: x/1")
    fleet.ask(ROUTER, "GET", "/read/1", "id-1", forged)
    run = find_run(fleet, "id-1")
    assert run["HTTP_LAGOONSAIL_TENANT_NAME"] == "norte"
    assert "HTTP_LAGOONSAIL_PIN_MS" not in run
    assert "HTTP_KV_FROM" not in run


def test_unknown_routes_and_keys_are_refused(fleet):
    assert fleet.ask(ROUTER, "GET", "/nowhere/1", "id-1")[0] == 404
    fleet.put_manifest(tenants=[{"name": "norte", "api-keys": ["another"]}])
    wait_for(lambda: fleet.ask(ROUTER, "GET", "/read/1", "id-2")[0] == 401)


def test_stream_is_passed_on_event_by_event(fleet):
    sock = fleet.send(ROUTER, "POST", "/stream/1", "id-1")
    arrivals = []
    while part := sock.recv(65_536):
        arrivals += [time.monotonic()] * part.count(b"data:")
    assert len(arrivals) == EVENTS
    assert arrivals[-1] - arrivals[0] > 0.04


def test_request_that_was_not_run_goes_to_another_server(fleet):
    fleet.servers["plain-1"].is_shedding = True
    for number in range(6):
        request_id = f"id-{number}"
        assert fleet.ask(ROUTER, "POST", "/write/1", request_id)[0] == 200
    run_ids = [name for name in request_ids(fleet, "plain") if name.startswith("id-")]
    assert sorted(run_ids) == [f"id-{number}" for number in range(6)]


def test_refusal_has_retry_after(fleet):
    for name in ("plain-1", "plain-2"):
        fleet.servers[name].is_shedding = True
    status, headers, _ = fleet.ask(ROUTER, "POST", "/write/1", "id-1")
    assert status == 503
    assert 0 < float(headers["retry-after"]) < 3
    assert "id-1" not in request_ids(fleet, "plain")


def test_stream_that_breaks_goes_on_at_another_server(fleet):
    for name in ("engine-1", "engine-2"):
        fleet.servers[name].breaks_after = 3
    status, _, body = fleet.ask(ROUTER, "POST", "/resume/1", "id-1")
    assert status == 200
    assert event_ids(body) == list(range(1, EVENTS + 1))


def test_stream_that_cannot_be_resumed_breaks_off_and_is_not_run_again(fleet):
    for name in ("engine-1", "engine-2"):
        fleet.servers[name].breaks_after = 2
    assert fleet.ask(ROUTER, "POST", "/stream/1", "id-1")[0] == 0
    assert request_ids(fleet, "engine").count("id-1") == 1


def test_work_ends_soon_after_its_caller_has_left(fleet):
    for name in ("engine-1", "engine-2"):
        fleet.servers[name].event_interval_s = 0.1
    sock = fleet.send(ROUTER, "POST", "/stream/1", "id-1")
    sock.recv(100)
    sock.close()
    closed_s = time.monotonic()
    wait_for(lambda: sum(s.cancelled for s in fleet.servers.values()) == 1)
    assert time.monotonic() - closed_s < 0.5


def test_draining_and_removed_servers_get_no_new_work(fleet):
    server = fleet.servers["plain-1"]
    fleet.store.put_json("servers/plain-1", server.record(state="draining"))
    eventlet.sleep(0.2)
    runs_before = len(server.runs)
    for number in range(10):
        assert fleet.ask(ROUTER, "GET", "/read/1", f"id-{number}")[0] == 200
    assert len(server.runs) == runs_before


def test_evacuated_domain_gets_no_new_work_until_it_is_taken_back(fleet):
    fleet.store.put("op/evacuate/north", b"{}")
    wait_for(lambda: fleet.ask(ROUTER, "GET", "/read/1", "id-1")[0] == 503)
    fleet.store.remove("op/evacuate/north")
    wait_for(lambda: fleet.ask(ROUTER, "GET", "/read/1", "id-2")[0] == 200)


def test_malformed_store_entries_are_ignored(fleet):
    fleet.store.put("servers/strange", b"\xff\x00")
    fleet.store.put_json("servers/plain-1", {"state": 7})
    fleet.store.put("op/config", b"[]")
    eventlet.sleep(0.2)
    assert fleet.ask(ROUTER, "GET", "/read/1", "id-1")[0] == 200


def test_service_goes_on_while_the_store_is_down(fleet):
    fleet.store.is_down = True
    eventlet.sleep(1.0)
    assert fleet.ask(ROUTER, "GET", "/read/1", "id-1")[0] == 200
    fleet.store.is_down = False
    fleet.store.compact()
    fleet.put_manifest(routes=[])
    wait_for(lambda: fleet.ask(ROUTER, "GET", "/read/1", "id-2")[0] == 404)


def test_router_without_a_manifest_answers_not_run(fleet):
    fleet.store.is_down = True
    fleet.start_router("router-2")
    wait_for(lambda: fleet.ask("router-2", "GET", "/read/1", "id-1")[0] == 503, 10.0)
    fleet.store.is_down = False
    fleet.wait_ready("router-2")


def test_planned_stop_lets_streams_end_and_refuses_late_requests(fleet):
    for name in ("engine-1", "engine-2"):
        fleet.servers[name].event_interval_s = 0.2
    sock = fleet.send(ROUTER, "POST", "/stream/1", "id-1")
    sock.recv(100)
    router = fleet.routers[ROUTER]
    router.send_signal(signal.SIGTERM)
    eventlet.sleep(0.2)
    status, headers, _ = fleet.ask(ROUTER, "GET", "/read/1", "id-2")
    assert status == 200
    assert headers["connection"] == "close"
    tail = b""
    while part := sock.recv(65_536):
        tail += part
    assert tail.endswith(b"0\r\n\r\n")
    wait_for(lambda: router.poll() is not None)
    assert router.returncode == 0


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
def test_death_of_one_router_does_not_stop_another(make_fleet, signal_number):
    fleet = make_fleet(2)
    os.kill(fleet.routers["router-2"].pid, signal_number)
    slowest_s = timer_delay_s = 0.0
    for number in range(40):
        start_s = time.monotonic()
        assert fleet.ask(ROUTER, "POST", "/write/1", f"id-{number}")[0] == 200
        answered_s = time.monotonic()
        slowest_s = max(slowest_s, answered_s - start_s)
        eventlet.sleep(0.05)
        timer_delay_s = max(timer_delay_s, time.monotonic() - answered_s - 0.05)
    # Store and servers run in this process. Its timer delay shows whether they were
    # late, rather than the router.
    assert slowest_s < 0.5, f"a timer of this process was {timer_delay_s:.3f} s late"


def test_routers_receive_each_others_digests(make_fleet):
    fleet = make_fleet(2)
    wait_for(lambda: "peer_heard" in {line["event"] for line in fleet.read_log(ROUTER)})


def test_log_names_what_decided_a_request(fleet):
    fleet.ask(ROUTER, "POST", "/stream/1", "id-1")
    fleet.ask(ROUTER, "GET", "/nowhere/1", "id-2")
    wait_for(lambda: any(x.get("request") == "id-2" for x in fleet.read_log(ROUTER)))
    lines = {line.get("request"): line for line in fleet.read_log(ROUTER)}
    assert lines["id-1"]["outcome"] == "answered"
    assert lines["id-1"]["manifest"] == fleet.version
    assert lines["id-1"]["server"] in fleet.servers
    assert lines["id-2"]["account"] == "norte"
    assert lines["id-2"]["kind"] == "unknown_route"


def test_idle_connections_of_callers_make_room_before_new_callers_wait(fleet):
    """The settings of `make_settings` allow 400 connections at once."""
    request = make_request("GET", "/read/1", "idle")
    address = ("127.0.0.1", fleet.ports[ROUTER])
    kept, closing = [], 0
    for _ in range(600):
        sock = green_socket.create_connection(address)
        sock.settimeout(5.0)
        sock.sendall(request)
        if b"connection: close" in sock.recv(65_536).lower():
            closing += 1
            sock.close()
        else:
            kept.append(sock)
    assert 190 <= len(kept) <= 210
    assert closing == 600 - len(kept)
    for sock in kept:
        sock.close()
