from __future__ import annotations

import threading
import time

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.messages import SlotCancel

CLOCK = Clock()


@pytest.mark.parametrize("skip_stop", [[], ["--skip-stop"]])
def test_process_ends_quickly_and_prints_no_noise(
    start_child, make_peer, skip_stop, wait_until
):
    child = start_child("--exit-after-ms", "800", *skip_stop)
    link = make_peer(f"127.0.0.1:{child.port}")
    wait_until(lambda: child.of("open"))
    link.peer.stream.send(SlotCancel(1))
    wait_until(lambda: link.of("close"))
    closed = time.monotonic()
    wait_until(lambda: child.process.poll() is not None)
    assert time.monotonic() - closed < 2.0
    assert child.process.returncode == 0
    assert child.process.stderr.read() == b""


def test_stop_is_quick_and_closes_each_stream_once(pair):
    server, link = pair
    started_ms = CLOCK.now_ms()
    server.peer.stop()
    link.peer.stop()
    assert CLOCK.now_ms() - started_ms < 2000.0
    assert len(server.of("close")) == len(link.of("close")) == 1
    server.peer.stop()
    link.peer.stop()


def test_stopped_link_dials_no_more(pair, wait_until):
    server, link = pair
    link.peer.stop()
    dials = link.peer.counters["dials"]
    server.streams()[0].send(SlotCancel(1))
    wait_until(lambda: server.of("close"))
    assert link.peer.counters["dials"] == dials
    link.peer.stream.send(SlotCancel(1))
    assert link.peer.counters["messages_dropped"] == 1


def test_stopping_leaves_no_native_thread(make_peer, wait_until, transport):
    before = threading.active_count()
    server = make_peer(name="server")
    links = [make_peer(f"127.0.0.1:{server.peer.port}", f"r{n}") for n in range(5)]
    wait_until(lambda: all(link.of("open") for link in links))
    assert (threading.active_count() > before) == (transport == "grpc")
    for recorder in (*links, server):
        recorder.peer.stop()
    wait_until(lambda: threading.active_count() <= before)
