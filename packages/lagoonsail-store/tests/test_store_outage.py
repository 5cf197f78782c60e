from __future__ import annotations

import time

import pytest

from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_lab.processes import free_port
from lagoonsail_store.store_client import Absent, Conflict, Entry, Written

TIMEOUT_MS = 300.0


@pytest.fixture
def trickling():
    """The address of a server that sends its response byte by byte without end."""
    listener = eventlet.listen(("127.0.0.1", 0))

    def trickle(sock):
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
        while True:
            sock.sendall(b" ")
            eventlet.sleep(0.02)

    def serve():
        while True:
            threads.append(eventlet.spawn(trickle, listener.accept()[0]))

    threads = [eventlet.spawn(serve)]
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    for thread in threads:
        thread.kill()


@pytest.fixture
def refusing():
    """An address without a listener."""
    with green_socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"


def every_call(client):
    yield client.get("/a")
    yield client.list("/a")
    yield client.put_if("/a", "1", 0)
    yield client.delete("/a")
    yield client.delete("/a", 3)
    yield client.grant_lease(1000.0)
    yield client.renew_lease(5)
    yield client.revoke_lease(5)


def test_service_that_is_down_makes_every_call_unavailable(
    key_value, refusing, connect
):
    client = connect(key_value.address, refusing)
    client.put_if("/a", "1", 0)
    key_value.control(mode="down")
    for result in every_call(client):
        assert isinstance(result, Unavailable)
    assert list(client.watch("/a", 1)) == []
    key_value.control(mode="up")
    assert client.get("/a") == Entry("/a", "1", 2, 0)


def test_reason_tells_whether_a_write_may_have_been_carried_out(
    key_value, refusing, connect
):
    assert "carried out" not in connect(refusing).put_if("/a", "1", 0).reason
    key_value.control(mode="down")
    assert "carried out" in connect(key_value.address).put_if("/a", "1", 0).reason


def test_calls_to_a_silent_service_time_out_without_blocking_green_threads(
    key_value, connect
):
    client = connect(key_value.address, timeout_ms=TIMEOUT_MS)
    key_value.control(mode="silent")
    ticks = []

    def count_ticks():
        while True:
            ticks.append(time.monotonic())
            eventlet.sleep(0.01)

    tick_thread = eventlet.spawn(count_ticks)
    started = time.monotonic()
    results = list(every_call(client))
    took_ms = (time.monotonic() - started) * 1000.0
    tick_thread.kill()
    assert all(isinstance(result, Unavailable) for result in results)
    assert took_ms < len(results) * TIMEOUT_MS + 1000.0
    assert len(ticks) > took_ms / 10.0 / 4.0
    key_value.control(mode="up")
    assert client.get("/a") == Absent("/a")


def test_answer_that_trickles_in_times_out(trickling, connect):
    started = time.monotonic()
    result = connect(trickling, timeout_ms=TIMEOUT_MS).get("/a")
    assert "did not answer within" in result.reason
    assert time.monotonic() - started < TIMEOUT_MS / 1000.0 + 1.0


def test_call_falls_back_to_the_next_endpoint(key_value, start, refusing, connect):
    silent = start("key_value")
    silent.control(mode="silent")
    client = connect(refusing, silent.address, key_value.address)
    assert client.put_if("/a", "1", 0) == Written(2)
    assert client.get("/a").value == "1"
    # The endpoint that answered is tried first from then on.
    assert client.counters["get", "repeated"] == 0


def test_slow_service_is_waited_for(key_value, client):
    key_value.control(mode="slow", delay_ms=300)
    started = time.monotonic()
    assert client.put_if("/a", "1", 0) == Written(2)
    assert time.monotonic() - started >= 0.3


def test_stale_answers_are_not_accepted_and_cannot_win_a_write(key_value, connect):
    old, fresh = connect(key_value.address), connect(key_value.address)
    old.put_if("/a", "1", 0)
    key_value.control(stale_reads=True)
    assert old.put_if("/a", "2", 2) == Written(3)
    assert "revision 2, 3 was seen before" in old.get("/a").reason
    assert old.counters["get", "stale"] > 0
    stale = fresh.get("/a")
    assert stale == Entry("/a", "1", 2, 0)
    newer = Entry("/a", "2", 3, 0)
    assert fresh.put_if("/a", "3", stale.revision) == Conflict(newer)
    key_value.control(stale_reads=False)
    assert old.get("/a") == newer


def test_deletion_that_reads_first_shares_one_timeout(key_value, connect):
    client = connect(key_value.address, timeout_ms=1000.0)
    assert client.put_if("/a", "1", 0) == Written(2)
    key_value.control(mode="slow", delay_ms=600)
    assert "may have been carried out" in client.delete("/a").reason
    assert key_value.record()["calls"]["range"] == 1


def test_new_cluster_with_lower_revisions_is_accepted(start, connect):
    # Not an ephemeral port: the system may assign it to another connection meanwhile.
    first = start("key_value", "--port", str(free_port()))
    client = connect(first.address)
    client.put_if("/a", "1", 0)
    assert first.stop() == 0
    start("key_value", "--port", str(first.port))
    assert client.get("/a") == Absent("/a")
    assert client.put_if("/a", "2", 0) == Written(2)
