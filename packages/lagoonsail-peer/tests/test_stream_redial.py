from __future__ import annotations

import random

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_lab.processes import free_port

CLOCK = Clock()


def test_restarted_server_is_seen_as_a_new_incarnation(
    start_child, make_peer, wait_until
):
    # Not an ephemeral port: the system may assign it to another connection meanwhile.
    child = start_child("--incarnation", "1", "--port", str(free_port()))
    link = make_peer(f"127.0.0.1:{child.port}")
    wait_until(lambda: link.of("open"))
    child.process.kill()
    child.process.wait()
    wait_until(lambda: link.of("close"))
    start_child("--incarnation", "2", "--port", str(child.port))
    wait_until(lambda: len(link.of("open")) == 2)
    assert [stream.incarnation for stream in link.streams()] == [1, 2]
    kinds = [event[0] for event in link.events if event[0] != "message"]
    assert kinds == ["open", "close", "open"]


def test_link_that_is_started_first_finds_the_server(
    start_child, make_peer, wait_until
):
    child = start_child("--port", str(free_port()))
    child.end()
    link = make_peer(f"127.0.0.1:{child.port}")
    eventlet.sleep(0.3)
    assert link.peer.counters["dials"] >= 2
    start_child("--port", str(child.port))
    wait_until(lambda: link.of("open"))


def test_pauses_between_dials_double_up_to_a_second(monkeypatch, make_peer, wait_until):
    gone = make_peer(name="gone")
    port = gone.peer.port
    gone.peer.stop()
    monkeypatch.setattr(random.Random, "uniform", lambda self, low, high: low)
    started_ms = CLOCK.now_ms()
    link = make_peer(f"127.0.0.1:{port}")
    wait_until(lambda: link.peer.counters["dials"] == 6)
    assert CLOCK.now_ms() - started_ms >= 50.0 + 100.0 + 200.0 + 400.0 + 500.0


def test_stream_closed_by_the_server_is_dialled_again(pair, wait_until):
    server, link = pair
    server.streams()[0].close()
    wait_until(lambda: len(link.of("open")) == 2)
    assert len(link.of("close")) == len(server.of("close")) == 1
