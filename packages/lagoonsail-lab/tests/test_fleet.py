from __future__ import annotations

import base64
import json
import signal
from collections import OrderedDict
from types import SimpleNamespace

import pytest

from lagoonsail_config.document import parse_document
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_lab import process_calls, processes
from lagoonsail_lab.deployments import (
    SHARED_DOMAIN,
    account_key,
    make_cordero,
    make_kalapati,
)
from lagoonsail_lab.fleet import Fleet
from lagoonsail_lab.process_calls import ProcessCalls
from lagoonsail_lab.processes import Process, ProcessError


@pytest.fixture(scope="module")
def fleet():
    fleet = Fleet([make_cordero(1, 2, 2), make_kalapati(1, 1, 1)])
    try:
        fleet.start_stand_ins()
        yield fleet
    finally:
        fleet.stop()
    assert not fleet.directory.exists()
    assert all(not b.process.is_running for b in fleet.backends.values())


def read_document(fleet, name):
    key = base64.b64encode(f"/lagoonsail/documents/{name}".encode()).decode()
    answer = fleet.fetch("POST", fleet.store, "/v3/kv/range", {"key": key})
    return parse_document(base64.b64decode(answer["kvs"][0]["value"]).decode())


def test_deployments_have_the_services_of_both_sides():
    cordero, kalapati = make_cordero(), make_kalapati()
    counts = {s.name: len(s.servers) for s in cordero.services}
    assert counts == {"asistente": 10, "registro": 4, "avisos": 1}
    counts = {s.name: len(s.servers) for s in kalapati.services}
    assert counts == {"model-desk": 5, "clock-app": 3, "avisos": 1}
    for service in [*cordero.services, *kalapati.services]:
        assert len(service.accounts) == 16
        assert "club-norte" in service.accounts


def test_documents_are_accepted_and_stored(fleet):
    for deployment in fleet.deployments:
        for service in deployment.services:
            document = read_document(fleet, service.qualified())
            assert document.qualified() == service.qualified()
            addresses = {s.address for s in document.servers.values()}
            assert len(addresses) == len(service.servers)
            key = account_key(service.side, service.name, "club-norte")
            assert document.find_account_by_key(key).name == "club-norte"
    registro = read_document(fleet, "cordero/registro")
    assert not registro.is_repeatable("POST", "/bibs")
    assert registro.is_repeatable("POST", "/search")


def test_state_of_a_domain_name_used_by_both_sides_changes_on_one_only(fleet):
    def usable(side):
        document = read_document(fleet, f"{side}/avisos")
        return [document.is_usable(s) for s in document.servers.values()]

    fleet.set_state(f"cordero/{SHARED_DOMAIN}", "out")
    assert (usable("cordero"), usable("kalapati")) == ([False], [True])
    fleet.set_state(f"cordero/{SHARED_DOMAIN}", "in")
    assert (usable("cordero"), usable("kalapati")) == ([True], [True])


def test_servers_are_controlled_and_keep_a_record(fleet):
    name = "cordero/registro-1"
    address = fleet.backends[name].address
    fleet.fetch("POST", address, "/bibs", {"work_ms": 1})
    before = fleet.records()[name]
    assert [run["path"] for run in before["runs"]] == ["/bibs"]
    fleet.control_backend(name, restart=True)
    assert fleet.records()[name]["incarnation"] != before["incarnation"]


def test_relay_forwards_to_the_store_unless_cut(fleet):
    fleet._add_relay("store-r1", fleet.store)
    address = fleet.relays["store-r1"].address
    key = {"key": base64.b64encode(b"none").decode()}
    assert fleet.fetch("POST", address, "/v3/kv/range", key)
    fleet.control_relay("store-r1", mode="cut")
    result = fleet.fetch("POST", address, "/v3/kv/range", key)
    assert isinstance(result, Unavailable)
    fleet.control_relay("store-r1", mode="pass")
    assert fleet.fetch("POST", address, "/v3/kv/range", key)


def test_relay_cuts_one_source_off_from_one_server(fleet):
    servers = [fleet.backends[f"cordero/registro-{n}"].address for n in (1, 2)]
    fleet._add_relay("servers", ",".join(servers))
    ports = fleet.relays["servers"].process.wait_listening()["ports"]

    def is_reached(port, source):
        connection = urllib3.connection.HTTPConnection(
            "127.0.0.1", port, timeout=2.0, source_address=(source, 0)
        )
        try:
            connection.request("GET", "/_record")
            return connection.getresponse().status == 200
        except (OSError, urllib3.exceptions.HTTPError):
            return False
        finally:
            connection.close()

    sources = ["127.0.1.2", "127.0.1.3"]
    path = {"target": servers[0], "source": sources[0]}
    fleet.control_relay("servers", **path, mode="cut")
    reached = [[is_reached(port, source) for source in sources] for port in ports]
    assert reached == [[False, True], [True, True]]
    fleet.control_relay("servers", **path, mode="pass")
    assert is_reached(ports[0], sources[0])


def test_peers_are_redirected_once_the_member_record_is_written(fleet):
    """A router on a busy machine can be ready before its member record is written."""
    key = "/lagoonsail/members/late"
    encoded = base64.b64encode(key.encode()).decode()

    def write():
        value = base64.b64encode(json.dumps({"peers": "own"}).encode()).decode()
        put = {"key": encoded, "value": value}
        assert fleet.fetch("POST", fleet.store, "/v3/kv/put", put)

    writing = eventlet.spawn_after(0.5, write)
    calls = ProcessCalls()
    calls.redirect_member(fleet.store, key, "relay")
    writing.wait()
    answer = fleet.fetch("POST", fleet.store, "/v3/kv/range", {"key": encoded})
    member = json.loads(base64.b64decode(answer["kvs"][0]["value"]))
    assert member == {"peers": "relay"}


def test_missing_member_record_is_reported(fleet, monkeypatch):
    monkeypatch.setattr(process_calls, "MEMBER_TIMEOUT_MS", 200.0)
    with pytest.raises(ProcessError, match="no member record /lagoonsail/members/none"):
        ProcessCalls().redirect_member(fleet.store, "/lagoonsail/members/none", "relay")


def test_process_that_does_not_listen_is_reported_with_its_errors(tmp_path):
    process = Process("wrong", "lagoonsail_standins.relay", [], tmp_path)
    process.start()
    with pytest.raises(ProcessError, match="(?s)exit code 2.*--target"):
        process.wait_listening()


def test_frozen_process_is_killed(tmp_path):
    process = Process("plain", "lagoonsail_standins.plain_service", [], tmp_path)
    process.start()
    process.wait_listening()
    process.signal(signal.SIGSTOP)
    assert process.is_running
    process.kill()
    assert process.exit_code == -signal.SIGKILL
    assert not process.is_running


def test_ports_are_reserved_for_one_test_process(monkeypatch):
    """Another process may draw the same port before a listener is open on it."""
    ports = [processes.free_port() for _ in range(3)]
    drawn, rng = iter(ports), processes._random

    def draw(first, last):
        return next(drawn, None) or rng.randint(first, last)

    monkeypatch.setattr(processes, "_reserved_ports", OrderedDict())
    monkeypatch.setattr(processes, "_random", SimpleNamespace(randint=draw))
    assert processes.free_port() not in ports
